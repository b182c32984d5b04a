import { describe, expect, test } from 'vitest'
import { recordSend } from './index.js'

const limits = { ratio: 0.2, extra: 50, windowMs: 10_000 }

describe('recordSend', () => {
  test('records first sends and retries separately', () => {
    const first = recordSend({ requests: [], retries: [] }, 'first', limits, 1)
    expect(recordSend(first, 'retry', limits, 2)).toEqual({ requests: [1], retries: [2] })
  })
  test('drops sends that are older than the window', () => expect(recordSend({ requests: [0], retries: [0, 5] }, 'first', limits, 10_003)).toEqual({ requests: [10_003], retries: [5] }))
})
