/** Waiting between attempts, spread so that many nodes do not come back at once. */

export type BackoffRange = { readonly minimumBackoffMs: number, readonly maximumBackoffMs: number }

/**
 * Computes how long to wait after a number of failures in a row.
 *
 * The bound doubles with each failure up to the maximum; the wait is drawn
 * from its upper half, so that no node hammers and no two keep in step.
 *
 * @param failures - Failures in a row, from 1.
 * @param range - Smallest and largest bound in milliseconds.
 * @param randomShare - A number in [0, 1).
 * @returns The wait in milliseconds.
 *
 * @example
 * computeBackoff(3, { minimumBackoffMs: 100, maximumBackoffMs: 5000 }, 0) // => 200
 */
export const computeBackoff = (failures: number, range: BackoffRange, randomShare: number): number => {
  const bound = Math.min(range.maximumBackoffMs, range.minimumBackoffMs * 2 ** (Math.max(1, failures) - 1))
  return bound / 2 + randomShare * bound / 2
}
