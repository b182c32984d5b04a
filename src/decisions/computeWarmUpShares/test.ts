import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { computeWarmUpShares } from './index.js'

describe('computeWarmUpShares', () => {
  test('splits the rate between a few nodes', () => {
    expect(computeWarmUpShares({ requestsPerSecond: 10, excess: 1.5, slack: 5 })).toEqual({ nodes: 4, requestsPerNode: 2 })
  })
  test('lets one node send at a bound of one request', () => {
    expect(computeWarmUpShares({ requestsPerSecond: 1, excess: 1, slack: 0 })).toEqual({ nodes: 1, requestsPerNode: 1 })
  })
  test('lets no node send at a bound below one request', () => {
    expect(computeWarmUpShares({ requestsPerSecond: 0.5, excess: 1, slack: 0 })).toEqual({ nodes: 0, requestsPerNode: 0 })
  })
  test('keeps two disjoint views together under the bound', () => {
    fc.assert(fc.property(fc.double({ min: 1, max: 500, noNaN: true }), fc.double({ min: 1, max: 3, noNaN: true }), fc.integer({ min: 1, max: 50 }), (requestsPerSecond, excess, slack) => {
      const { nodes, requestsPerNode } = computeWarmUpShares({ requestsPerSecond, excess, slack })
      expect(2 * nodes * requestsPerNode).toBeLessThanOrEqual(requestsPerSecond * excess + slack)
      expect(nodes * requestsPerNode).toBeLessThanOrEqual(requestsPerSecond)
      expect(nodes * requestsPerNode).toBeGreaterThan(0)
    }), { seed: 3 })
  })
})
