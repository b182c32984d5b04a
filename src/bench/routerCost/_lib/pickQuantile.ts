/** Exact quantiles of a few thousand values. */

/**
 * Gives a quantile of some values.
 *
 * @param values - At least one value, in any order.
 * @param quantile - From 0 to 1.
 * @returns The least value that has at least that share of the values at or below it.
 *
 * @example
 * pickQuantile([3, 1, 2], 0.5) // => 2
 */
export const pickQuantile = (values: readonly number[], quantile: number): number => {
  const sorted = [...values].sort((left, right) => left - right)
  const index = Math.max(0, Math.ceil(quantile * sorted.length) - 1)
  return sorted[index] ?? Number.NaN
}
