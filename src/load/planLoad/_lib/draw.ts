/** Draws from distributions, and texts of a given size. */
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
 * Draws a whole number evenly.
 *
 * @param random - Source of the draw.
 * @param smallest - Least value, included.
 * @param largest - Greatest value, included; below `smallest` it counts as equal to it.
 * @returns A whole number.
 *
 * @example
 * drawWhole(random, 1, 6)
 */
export const drawWhole = (random: RandomSource, smallest: number, largest: number): number =>
  smallest + Math.floor(random.next() * Math.max(1, largest - smallest + 1))

/**
 * Composes a text of about so many tokens of the stand-in engine.
 *
 * @param opening - What the text begins with, whatever its size.
 * @param tokens - Size that the text is filled up to.
 * @returns The text.
 *
 * @example
 * composeText('hello:', 10)
 */
export const composeText = (opening: string, tokens: number): string => {
  const size = Math.max(opening.length, tokens * CHARACTERS_PER_TOKEN)
  return `${opening} ${FILLER.repeat(Math.ceil(size / FILLER.length))}`.slice(0, size)
}
