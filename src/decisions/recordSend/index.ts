import { computeRetryCredit, USABLE_BUDGET_SHARE } from '../grantRetry/index.js'
import type { RetrySource, RetryWindow, RetryWindowLimits } from '../grantRetry/index.js'
import { trimTimes } from '../_lib/trimTimes.js'

/**
 * Records a send in the retry budget.
 *
 * @param budget - The times of recent sends.
 * @param kind - The first send of a request, or the part of the budget that a retry uses.
 * @param limits - The fleet's limits.
 * @param now - Time of the send, in monotonic milliseconds.
 * @returns The budget with the send added and the sends before the window removed.
 *
 * @example
 * recordSend(emptyRetryWindow, 'constant', { ratio: 0.2, extra: 50, windowMs: 10_000 }, 5).retries.constant // => [5]
 */
export const recordSend = (budget: RetryWindow, kind: 'first' | RetrySource, limits: RetryWindowLimits, now: number): RetryWindow => {
  const windowStart = now - limits.windowMs
  const add = (times: readonly number[], isAdded: boolean): readonly number[] => {
    const recent = trimTimes(times, windowStart)
    return isAdded ? [...recent, now] : recent
  }
  const credit = computeRetryCredit(budget, limits, now)
  const changes = { first: USABLE_BUDGET_SHARE * limits.ratio, ratio: -1, constant: 0 }
  return {
    requests: add(budget.requests, kind === 'first'),
    retries: { ratio: add(budget.retries.ratio, kind === 'ratio'), constant: add(budget.retries.constant, kind === 'constant') },
    credit: credit + changes[kind]
  }
}
