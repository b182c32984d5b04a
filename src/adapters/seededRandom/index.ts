import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomSource } from '../../types/index.js'

const WORD_RANGE = 2 ** 32

/**
 * Gives a random source that repeats itself for the same seed, for benches,
 * the load tool and nodes that a harness drives.
 *
 * @param seed - Any whole number.
 * @returns A source whose numbers and identifiers follow from the seed.
 *
 * @example
 * createSeededRandom(1).next() === createSeededRandom(1).next() // => true
 */
export const createSeededRandom = (seed: number): RandomSource => {
  const generator = xoroshiro128plus(seed)
  const nextWord = (): number => generator.next() >>> 0
  return {
    next: () => nextWord() / WORD_RANGE,
    nextId: () => Array.from({ length: 3 }, () => nextWord().toString(16).padStart(8, '0')).join('')
  }
}
