import { describe, expect, test } from 'vitest'
import { computeTrialDelay } from './index.js'

describe('computeTrialDelay', () => {
  test('is short at first', () => expect(computeTrialDelay({ ends: 2, trials: 0 })).toBe(1_000))

  // Requests with such a part end a server each: after five ends no more than three may be sent for a while.
  test('grows with each end', () => {
    const delays = [2, 3, 4, 5, 6, 60].map((ends) => computeTrialDelay({ ends, trials: ends - 2 }))
    expect(delays).toEqual([1_000, 4_000, 30_000, 300_000, 3_600_000, 3_600_000])
  })

  // Ends that no node notices must not let trials go on at the shortest delay.
  test('grows with trials without a result', () => expect(computeTrialDelay({ ends: 2, trials: 5 })).toBe(300_000))
})
