import type { RepeatBudget, RepeatBudgetLimits } from '../grantRepeat/index.js'
import { trimTimes } from '../_lib/trimTimes.js'

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
  const requests = trimTimes(budget.requests, from)
  const repeats = trimTimes(budget.repeats, from)
  return kind === 'first' ? { requests: [...requests, now], repeats } : { requests, repeats: [...repeats, now] }
}
