import { expect, test } from 'vitest'
import { computeLoadDelay } from './index.js'

test.each([
  ['a whole core', 1_000, 700],
  ['more than a core', 2_000, 700],
  ['an unknown processor', undefined, 700],
  ['half a core', 500, 1_400],
  ['a tenth of a core', 100, 6_000]
])('delays a load by the share of a core: %s', (_, millicores, delayMs) => {
  expect(computeLoadDelay(700, millicores)).toBe(delayMs)
})
