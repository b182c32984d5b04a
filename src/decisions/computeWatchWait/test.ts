import { expect, test } from 'vitest'
import { computeWatchWait } from './index.js'

test.each([[3_000, 1_500], [4_000, 2_500], [60_000, 2_500], [0, 500]])('within %i ms a watch waits for %i ms', (reconnectMs, waitMs) => {
  expect(computeWatchWait(reconnectMs)).toBe(waitMs)
})
