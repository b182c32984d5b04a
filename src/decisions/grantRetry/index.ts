/**
 * Decides whether a retry fits this node's share of the fleet's retry budget,
 * which protects a failing service from a burst of retries. Over a sliding window
 * the retries of the fleet stay under a ratio of its requests plus a constant.
 * Each node may use the ratio of its own requests and its share of the constant.
 * So no node has to query another before a retry, and none uses the share of a
 * node that does not respond but may still be running.
 *
 * The two parts are counted apart. Requests add credit for retries, of which only the
 * last moments' can be saved up: a process that spends the credit of a whole window and
 * ends is followed by one that earns its own, in the same window of the fleet.
 */
import { trimTimes } from '../_lib/trimTimes.js'

/** The part of the budget that a retry uses. */
export type RetrySource = 'ratio' | 'constant'

export type RetryWindow = {
  /** Monotonic milliseconds of each first send within the window, oldest first. */
  readonly requests: readonly number[]
  readonly retries: Readonly<Record<RetrySource, readonly number[]>>
  /** Retries that the requests have paid for and that are not sent yet; a fraction counts. */
  readonly credit: number
}

export type RetryWindowLimits = {
  /** Retries per request. */
  readonly ratio: number
  /** Retries of the whole fleet in a window in addition to the ratio. */
  readonly extra: number
  readonly windowMs: number
}

export const emptyRetryWindow: RetryWindow = { requests: [], retries: { ratio: [], constant: [] }, credit: 0 }

/** Share of the budget that is used. The margin is what credit that was saved up before a window may add to it. */
export const USABLE_BUDGET_SHARE = 0.85

/** Part of a window whose requests' credit can be saved up: with it, the retries of a window stay within the budget of the window. */
const SAVED_WINDOW_SHARE = 1 / USABLE_BUDGET_SHARE - 1

/** A node with few requests could never retry without this much credit. */
const MINIMUM_SAVED_CREDIT = 1

/**
 * Computes the credit that is left for retries.
 *
 * @param budget - Requests and retries sent within the window.
 * @param limits - The fleet's limits.
 * @param now - Monotonic milliseconds.
 * @returns The credit, without what was saved up for too long.
 *
 * @example
 * computeRetryCredit(emptyRetryWindow, { ratio: 0.2, extra: 50, windowMs: 10_000 }, 0) // => 0
 */
export const computeRetryCredit = ({ requests, credit }: RetryWindow, { ratio, windowMs }: RetryWindowLimits, now: number): number => {
  const recentRequests = trimTimes(requests, now - SAVED_WINDOW_SHARE * windowMs).length
  return Math.min(credit, Math.max(MINIMUM_SAVED_CREDIT, USABLE_BUDGET_SHARE * ratio * recentRequests))
}

/**
 * Decides whether one more retry fits the budget, and which part of it the retry uses.
 *
 * @param budget - Requests and retries sent within the window.
 * @param limits - The fleet's limits.
 * @param constantShare - Retries in a window that this node may send beyond the ratio; see `computeRetryShare`.
 * @param now - Monotonic milliseconds.
 * @returns The part that the retry may use; `undefined` when it may not be sent.
 *
 * @example
 * grantRetry(emptyRetryWindow, { ratio: 0.2, extra: 50, windowMs: 10_000 }, 10, 0) // => 'constant'
 */
export const grantRetry = (budget: RetryWindow, limits: RetryWindowLimits, constantShare: number, now: number): RetrySource | undefined => {
  const from = now - limits.windowMs
  const count = (times: readonly number[]): number => trimTimes(times, from).length
  const paidByRequests = USABLE_BUDGET_SHARE * limits.ratio * count(budget.requests)
  if (computeRetryCredit(budget, limits, now) >= 1 && count(budget.retries.ratio) + 1 <= paidByRequests) return 'ratio'
  return count(budget.retries.constant) + 1 <= USABLE_BUDGET_SHARE * constantShare ? 'constant' : undefined
}
