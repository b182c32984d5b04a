/** The spending side of the retry budget; `creditRetryBudget` fills it. */
import type { RetryBudget } from '../creditRetryBudget/index.js'

export type RetrySpending = { readonly granted: boolean, readonly budget: RetryBudget }

/**
 * Takes one token for one retry, when there is one.
 *
 * @param budget - The budget so far.
 * @returns Whether the retry is granted, and the budget after it.
 *
 * @example
 * spendRetryBudget({ tokens: 1.5 }) // => { granted: true, budget: { tokens: 0.5 } }
 */
export const spendRetryBudget = (budget: RetryBudget): RetrySpending => {
  if (budget.tokens < 1) return { granted: false, budget }
  return { granted: true, budget: { tokens: budget.tokens - 1 } }
}
