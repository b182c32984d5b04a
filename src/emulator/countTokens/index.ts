/** The stand-in's notion of a token, simple enough for a test to count along. */

const CHARACTERS_PER_TOKEN = 4

/**
 * Counts the tokens of a text as the stand-in engine does: one for every four
 * characters begun, and none for an empty text.
 *
 * @param text - Any text.
 * @returns A whole number of tokens.
 *
 * @example
 * countTokens('hello') // => 2
 */
export const countTokens = (text: string): number => Math.ceil(text.length / CHARACTERS_PER_TOKEN)
