import { expect, it } from 'vitest'
import { creditRetryBudget } from './index.js'

it('does not fill the bucket above its capacity', () => {
  expect(creditRetryBudget({ tokens: 9.75 }, 0.5, 10)).toEqual({ tokens: 10 })
})
