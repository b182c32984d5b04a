/**
 * The fleet's retry budget, one node's share of it. A failing service must not
 * be drowned in repeats: over a sliding window, what arrives beyond the first
 * send of each request stays under a ratio of the requests plus a constant.
 * Each node spends the ratio of its own requests and an equal part of the
 * constant, so no node needs an answer from another before it repeats, and
 * none spends what a silent one may be spending.
 */

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

/** Drops what lies before the window. */
const trim = (times: readonly number[], from: number): readonly number[] => {
  const first = times.findIndex((time) => time >= from)
  if (first === 0) return times
  return first < 0 ? [] : times.slice(first)
}

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
  const requests = trim(budget.requests, from).length
  const repeats = trim(budget.repeats, from).length
  const allowed = USED_SHARE * (limits.ratio * requests + limits.extra / Math.max(1, nodes))
  return repeats + 1 <= allowed
}

/**
 * Notes a send.
 *
 * @param budget - What was sent lately.
 * @param kind - Whether it is the first send of its request.
 * @param limits - The fleet's limits.
 * @param now - Monotonic milliseconds.
 * @returns The budget with the send, without what left the window.
 *
 * @example
 * noteSend({ requests: [], repeats: [] }, 'repeat', { ratio: 0.2, extra: 50, windowMs: 10_000 }, 5).repeats // => [5]
 */
export const noteSend = (budget: RepeatBudget, kind: 'first' | 'repeat', limits: RepeatBudgetLimits, now: number): RepeatBudget => {
  const from = now - limits.windowMs
  const requests = trim(budget.requests, from)
  const repeats = trim(budget.repeats, from)
  return kind === 'first' ? { requests: [...requests, now], repeats } : { requests, repeats: [...repeats, now] }
}
