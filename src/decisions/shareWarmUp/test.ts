import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { shareWarmUp } from './index.js'

describe('shareWarmUp', () => {
  test('splits the rate between a few nodes', () => {
    expect(shareWarmUp({ requestsPerSecond: 10, excess: 1.5, slack: 5 })).toEqual({ nodes: 4, requestsEach: 2 })
  })
  test('lets one node send at a bound of one request', () => {
    expect(shareWarmUp({ requestsPerSecond: 1, excess: 1, slack: 0 })).toEqual({ nodes: 1, requestsEach: 1 })
  })
  test('lets no node send at a bound below one request', () => {
    expect(shareWarmUp({ requestsPerSecond: 0.5, excess: 1, slack: 0 })).toEqual({ nodes: 0, requestsEach: 0 })
  })
  test('keeps two disjoint views together under the bound', () => {
    fc.assert(fc.property(fc.double({ min: 1, max: 500, noNaN: true }), fc.double({ min: 1, max: 3, noNaN: true }), fc.integer({ min: 1, max: 50 }), (requestsPerSecond, excess, slack) => {
      const { nodes, requestsEach } = shareWarmUp({ requestsPerSecond, excess, slack })
      expect(2 * nodes * requestsEach).toBeLessThanOrEqual(requestsPerSecond * excess + slack)
      expect(nodes * requestsEach).toBeLessThanOrEqual(requestsPerSecond)
      expect(nodes * requestsEach).toBeGreaterThan(0)
    }), { seed: 3 })
  })
})
