import { describe, expect, it } from 'vitest'
import { creditRetryBudget, type RetryBudget } from '../creditRetryBudget/index.js'
import { spendRetryBudget } from './index.js'

describe('spendRetryBudget', () => {
  it.each([
    [0, false, 0],
    [0.99, false, 0.99],
    [1, true, 0],
    [2.5, true, 1.5]
  ])('with %d tokens is granted: %s', (tokens, granted, left) => {
    expect(spendRetryBudget({ tokens })).toEqual({ granted, budget: { tokens: left } })
  })

  it('limits retries to their share of the first attempts', () => {
    let budget: RetryBudget = { tokens: 0 }
    let retries = 0
    for (let attempt = 0; attempt < 1_000; attempt += 1) {
      budget = creditRetryBudget(budget, 0.125, 20)
      const spending = spendRetryBudget(budget)
      budget = spending.budget
      if (spending.granted) retries += 1
    }
    expect(retries).toBe(125)
  })
})
