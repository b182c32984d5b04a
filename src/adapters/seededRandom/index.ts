import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomSource } from '../../types/index.js'

const WORD_RANGE = 2 ** 32

/**
 * Creates a random source that is reproducible from its seed, for benchmarks,
 * the load tool and nodes in test environments.
 *
 * @param seed - Any integer.
 * @returns A source whose numbers and identifiers depend only on the seed.
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
