/** The retry budget that all requests of one node share. */
import { creditRetryBudget, type RetryBudget } from '../../../decisions/creditRetryBudget/index.js'
import { spendRetryBudget } from '../../../decisions/spendRetryBudget/index.js'

export type RetryAllowance = {
  readonly credit: () => void
  readonly isAvailable: () => boolean
  readonly spend: () => void
}

/** Initial and maximum tokens of the bucket: enough for the failures of an hour with little traffic. */
const CAPACITY = 20

export const createRetryAllowance = (share: number): RetryAllowance => {
  let budget: RetryBudget = { tokens: CAPACITY }
  return {
    credit: () => { budget = creditRetryBudget(budget, share, CAPACITY) },
    isAvailable: () => spendRetryBudget(budget).granted,
    spend: () => { budget = spendRetryBudget(budget).budget }
  }
}
