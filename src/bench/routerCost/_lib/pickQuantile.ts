/** Computes exact quantiles by sorting; meant for a few thousand values. */

/**
 * Returns a quantile of the values.
 *
 * @param values - At least one value, in any order.
 * @param quantile - From 0 to 1.
 * @returns The smallest value that is greater than or equal to at least that share of the values.
 *
 * @example
 * pickQuantile([3, 1, 2], 0.5) // => 2
 */
export const pickQuantile = (values: readonly number[], quantile: number): number => {
  const sorted = [...values].sort((left, right) => left - right)
  const index = Math.max(0, Math.ceil(quantile * sorted.length) - 1)
  return sorted[index] ?? Number.NaN
}
