/** A random source that repeats exactly for its seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomSource } from '../../types/index.js'

const ID_WORDS = 3
const MAXIMUM_WORD = 0xffffffff
const HEX_DIGITS_PER_WORD = 8

/**
 * Creates a random source whose numbers and identifiers depend on the seed alone.
 *
 * @param seed - Any integer.
 * @returns A random source; identifiers have 96 bits.
 *
 * @example
 * createSeededRandom(1).next() === createSeededRandom(1).next() // => true
 */
export const createSeededRandom = (seed: number): RandomSource => {
  const generator = xoroshiro128plus(seed)
  const nextWord = (): string => uniformInt(generator, 0, MAXIMUM_WORD).toString(16).padStart(HEX_DIGITS_PER_WORD, '0')
  return {
    next: () => uniformFloat64(generator),
    nextId: () => Array.from({ length: ID_WORDS }, nextWord).join('')
  }
}
