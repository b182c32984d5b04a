import type { RepeatBudget, RepeatBudgetLimits } from '../grantRepeat/index.js'
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
 * noteSend({ requests: [], repeats: [] }, 'repeat', { ratio: 0.2, extra: 50, windowMs: 10_000 }, 5).repeats // => [5]
 */
export const noteSend = (budget: RepeatBudget, kind: 'first' | 'repeat', limits: RepeatBudgetLimits, now: number): RepeatBudget => {
  const from = now - limits.windowMs
  const requests = trimTimes(budget.requests, from)
  const repeats = trimTimes(budget.repeats, from)
  return kind === 'first' ? { requests: [...requests, now], repeats } : { requests, repeats: [...repeats, now] }
}
