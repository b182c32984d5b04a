import type { RetryWindow, RetryWindowLimits } from '../grantRetry/index.js'
import { trimTimes } from '../_lib/trimTimes.js'

/**
 * Records a send in the retry budget.
 *
 * @param budget - The times of recent sends.
 * @param kind - Whether this is the first send of its request or a retry.
 * @param limits - The fleet's limits.
 * @param now - Time of the send, in monotonic milliseconds.
 * @returns The budget with the send added and the sends before the window removed.
 *
 * @example
 * recordSend({ requests: [], retries: [] }, 'retry', { ratio: 0.2, extra: 50, windowMs: 10_000 }, 5).retries // => [5]
 */
export const recordSend = (budget: RetryWindow, kind: 'first' | 'retry', limits: RetryWindowLimits, now: number): RetryWindow => {
  const windowStart = now - limits.windowMs
  const requests = trimTimes(budget.requests, windowStart)
  const retries = trimTimes(budget.retries, windowStart)
  return kind === 'first' ? { requests: [...requests, now], retries } : { requests, retries: [...retries, now] }
}
