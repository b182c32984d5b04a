/**
 * Credits the retry budget, a token bucket that first attempts fill and retries
 * empty. When all servers of a service fail, retries stay a share of the traffic
 * instead of multiplying it.
 */

export type RetryBudget = { readonly tokens: number }

/**
 * Credits the budget for one first attempt.
 *
 * @param budget - The budget before the credit.
 * @param share - Retries allowed per first attempt, for example 0.1.
 * @param capacity - Maximum number of tokens in the bucket.
 * @returns The budget after the credit.
 *
 * @example
 * creditRetryBudget({ tokens: 4.5 }, 0.1, 10) // => { tokens: 4.6 }
 */
export const creditRetryBudget = (budget: RetryBudget, share: number, capacity: number): RetryBudget =>
  ({ tokens: Math.min(capacity, budget.tokens + share) })
