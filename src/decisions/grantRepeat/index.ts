/**
 * The fleet's retry budget, one node's share of it. A failing service must not
 * be drowned in repeats: over a sliding window, what arrives beyond the first
 * send of each request stays under a ratio of the requests plus a constant.
 * Each node spends the ratio of its own requests and an equal part of the
 * constant, so no node needs an answer from another before it repeats, and
 * none spends what a silent one may be spending.
 */
import { trimTimes } from '../_lib/trimTimes.js'

export type RepeatBudget = {
  /** Monotonic milliseconds of each first send within the window, oldest first. */
  readonly requests: readonly number[]
  readonly repeats: readonly number[]
}

export type RepeatBudgetLimits = {
  /** Repeats per request. */
  readonly ratio: number
  /** Repeats of the whole fleet in a window beyond the ratio. */
  readonly extra: number
  readonly windowMs: number
}

/** Part of the budget that is used: a request near a window's edge may be counted in one window and its repeat in the next. */
const USED_SHARE = 0.85

/**
 * Says whether one more repeat fits the budget.
 *
 * @param budget - What was sent lately.
 * @param limits - The fleet's limits.
 * @param nodes - Nodes that may be spending, the unheard ones included; at least 1.
 * @param now - Monotonic milliseconds.
 * @returns Whether the repeat may be sent.
 *
 * @example
 * grantRepeat({ requests: [], repeats: [] }, { ratio: 0.2, extra: 50, windowMs: 10_000 }, 5, 0) // => true
 */
export const grantRepeat = (budget: RepeatBudget, limits: RepeatBudgetLimits, nodes: number, now: number): boolean => {
  const from = now - limits.windowMs
  const requests = trimTimes(budget.requests, from).length
  const repeats = trimTimes(budget.repeats, from).length
  const allowed = USED_SHARE * (limits.ratio * requests + limits.extra / Math.max(1, nodes))
  return repeats + 1 <= allowed
}
