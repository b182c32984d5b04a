/** Takes tokens from the retry budget; `creditRetryBudget` adds them. */
import type { RetryBudget } from '../creditRetryBudget/index.js'

export type RetrySpending = { readonly granted: boolean, readonly budget: RetryBudget }

/**
 * Takes one token for a retry, if one is available.
 *
 * @param budget - The current budget.
 * @returns Whether the retry is granted, and the remaining budget.
 *
 * @example
 * spendRetryBudget({ tokens: 1.5 }) // => { granted: true, budget: { tokens: 0.5 } }
 */
export const spendRetryBudget = (budget: RetryBudget): RetrySpending => {
  if (budget.tokens < 1) return { granted: false, budget }
  return { granted: true, budget: { tokens: budget.tokens - 1 } }
}
