/** Draws from random distributions, and composes texts of a given size. */
import type { RandomSource } from '../../../types/index.js'

const CHARACTERS_PER_TOKEN = 4
const FILLER = 'pasta stock and van '

/**
 * Draws from an exponential distribution.
 *
 * @param random - Source of the draw.
 * @param mean - Mean of the distribution.
 * @returns A number from 0.
 *
 * @example
 * drawExponential(random, 1000)
 */
export const drawExponential = (random: RandomSource, mean: number): number => -Math.log(1 - random.next()) * mean

/**
 * Draws an integer from a uniform distribution.
 *
 * @param random - Source of the draw.
 * @param smallest - Minimum, inclusive.
 * @param largest - Maximum, inclusive; a value below `smallest` counts as `smallest`.
 * @returns An integer.
 *
 * @example
 * drawInteger(random, 1, 6)
 */
export const drawInteger = (random: RandomSource, smallest: number, largest: number): number =>
  smallest + Math.floor(random.next() * Math.max(1, largest - smallest + 1))

/**
 * Composes a text of a given size in tokens of the emulated model engine.
 *
 * @param opening - Beginning of the text, never shortened.
 * @param tokens - Size of the text in tokens; an opening that is longer is not filled up.
 * @returns The text.
 *
 * @example
 * composeText('hello:', 10)
 */
export const composeText = (opening: string, tokens: number): string => {
  const size = Math.max(opening.length, tokens * CHARACTERS_PER_TOKEN)
  return `${opening} ${FILLER.repeat(Math.ceil(size / FILLER.length))}`.slice(0, size)
}
