import { expect, it } from 'vitest'
import { creditRetryBudget } from './index.js'

it('never holds more than its capacity', () => {
  expect(creditRetryBudget({ tokens: 9.75 }, 0.5, 10)).toEqual({ tokens: 10 })
})
