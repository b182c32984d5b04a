/** Weighted random choices, which are prepared once and drawn from many times. */
import type { RandomSource } from '../../../types/index.js'

export type Choice<Value> = (random: RandomSource) => Value

/**
 * Creates a random choice with probabilities in proportion to the weights.
 *
 * @param values - At least one value, of which at least one has a weight above 0.
 * @param weigh - Returns the weight of a value, at least 0.
 * @returns A function that draws a value.
 *
 * @example
 * createWeightedChoice(['a', 'b'], (value) => value === 'a' ? 1 : 0)(random) // => 'a'
 */
export const createWeightedChoice = <Value>(values: readonly Value[], weigh: (value: Value) => number): Choice<Value> => {
  let total = 0
  const bounds = values.map((value) => {
    total += weigh(value)
    return total
  })
  if (!(total > 0)) throw new Error('a weighted choice needs at least one value with a weight above 0')
  return (random) => values[findFirstAbove(bounds, random.next() * total)]!
}

/**
 * Creates a random choice of a rank from a Zipf distribution.
 *
 * @param count - Number of ranks, at least 1.
 * @param exponent - With 0 all ranks are equally likely; with 1 the nth rank has 1/n of the weight of the first.
 * @returns A function that draws a rank, from 0.
 *
 * @example
 * createZipfChoice(10, 1)(random) // => most often 0
 */
export const createZipfChoice = (count: number, exponent: number): Choice<number> =>
  createWeightedChoice(Array.from({ length: count }, (_, rank) => rank), (rank) => 1 / (rank + 1) ** exponent)

const findFirstAbove = (bounds: readonly number[], value: number): number => {
  let low = 0
  let high = bounds.length - 1
  while (low < high) {
    const middle = (low + high) >> 1
    if (bounds[middle]! > value) high = middle
    else low = middle + 1
  }
  return low
}
