/** Token count of the emulated model engine, simple enough for tests to compute expected values. */

const CHARACTERS_PER_TOKEN = 4

/**
 * Counts the tokens of a text as the emulated model engine does: one for every
 * four characters, rounded up.
 *
 * @param text - Any text.
 * @returns The number of tokens.
 *
 * @example
 * countTokens('hello') // => 2
 */
export const countTokens = (text: string): number => Math.ceil(text.length / CHARACTERS_PER_TOKEN)
