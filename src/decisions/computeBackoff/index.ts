/** Exponential backoff with jitter, so that many nodes do not retry at the same time. */

export type BackoffRange = { readonly minimumBackoffMs: number, readonly maximumBackoffMs: number }

/**
 * Computes how long to wait after a number of failures in a row.
 *
 * The bound doubles with each failure up to the maximum. The wait is a random
 * value in its upper half, so that no node retries too fast and nodes do not
 * stay synchronised.
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
