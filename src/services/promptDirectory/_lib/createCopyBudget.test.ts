import { expect, test } from 'vitest'
import { createCopyBudget } from './createCopyBudget.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'

/** A tenth of the links of 12 engines is 30,000 tokens a second for each of 4 nodes. */
const INPUT = { tokens: 3_000, engine: { bytesPerToken: 125_000, linkMbps: 100_000 }, engines: 12, nodes: 4 }

// Load pattern: a zone returns, and all prompts that it is home to are asked for within a second.
test('spreads the copies of a zone that returns over time', () => {
  const clock = createManualClock()
  const budget = createCopyBudget(clock)
  const grantedBySecond = Array.from({ length: 3 }, () => {
    let granted = 0
    for (let request = 0; request < 200; request++) {
      if (budget.take('engines', INPUT)) granted += 1
      clock.advance(5)
    }
    return granted
  })
  expect(grantedBySecond[0]).toBeLessThanOrEqual(20)
  expect(grantedBySecond.slice(1)).toEqual([10, 10])
})
