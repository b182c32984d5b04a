import { describe, expect, test } from 'vitest'
import { recordSend } from './index.js'
import { emptyRetryWindow } from '../grantRetry/index.js'

const limits = { ratio: 0.2, extra: 50, windowMs: 10_000 }

describe('recordSend', () => {
  test('records first sends and the retries of each part separately', () => {
    const first = recordSend(emptyRetryWindow, 'first', limits, 1)
    const retried = recordSend(recordSend(first, 'ratio', limits, 2), 'constant', limits, 3)
    expect(retried).toMatchObject({ requests: [1], retries: { ratio: [2], constant: [3] } })
  })

  test('drops sends that are older than the window', () => {
    const budget = { requests: [0], retries: { ratio: [0, 5], constant: [1, 6] }, credit: 0 }
    expect(recordSend(budget, 'first', limits, 10_004)).toMatchObject({ requests: [10_004], retries: { ratio: [5], constant: [6] } })
  })

  test('adds credit for a first send, and takes it for a retry that the requests pay for', () => {
    const paid = Array.from({ length: 6 }).reduce<typeof emptyRetryWindow>((budget) => recordSend(budget, 'first', limits, 0), emptyRetryWindow)
    expect(paid.credit).toBeCloseTo(1.02)
    expect(recordSend(paid, 'ratio', limits, 0).credit).toBeCloseTo(0.02)
    expect(recordSend(paid, 'constant', limits, 0).credit).toBeCloseTo(1.02)
  })
})
