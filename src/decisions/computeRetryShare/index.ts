/**
 * Computes a node's share of the constant of the fleet's retry budget. The share
 * belongs to the node, not to its process: a process that has started may follow one
 * that used the share a moment ago, and nothing tells it. It gets the share once all
 * that the earlier one sent has left the window.
 */
import type { RetryWindowLimits } from '../grantRetry/index.js'

export type RetryShareholder = {
  /** Milliseconds for which this process has run; infinite where no other ran before it. */
  readonly runningMs: number
  /** Nodes that may use the budget, those that do not respond included; `undefined` while unknown. */
  readonly nodes: number | undefined
}

/**
 * Computes the share.
 *
 * @param limits - The fleet's limits.
 * @param shareholder - How long this process has run, and among how many nodes the constant is divided.
 * @returns Retries that the node may send in a window beyond the ratio of its requests.
 *
 * @example
 * computeRetryShare({ ratio: 0.2, extra: 48, windowMs: 10_000 }, { runningMs: 12_000, nodes: 6 }) // => 8
 */
export const computeRetryShare = ({ extra, windowMs }: Pick<RetryWindowLimits, 'extra' | 'windowMs'>, { runningMs, nodes }: RetryShareholder): number => {
  if (nodes === undefined || runningMs < windowMs) return 0
  return extra / Math.max(1, nodes)
}
