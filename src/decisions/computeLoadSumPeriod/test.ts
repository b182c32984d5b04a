import { expect, test } from 'vitest'
import { computeLoadSumPeriod } from './index.js'

// Without engines, the sums of a fleet go out as before.
test.each([10, 100, 600])('is the longest for %i servers without described engines', (servers) =>
  expect(computeLoadSumPeriod({ servers, hasEngines: false })).toBe(400))

test.each([[10, 150], [100, 270], [600, 400]])('grows with %i engines to %i ms', (servers, periodMs) =>
  expect(computeLoadSumPeriod({ servers, hasEngines: true })).toBe(periodMs))
