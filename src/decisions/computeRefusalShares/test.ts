import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { computeRefusalShares } from './index.js'

describe('computeRefusalShares', () => {
  test('gives every node a share while there is one for each', () => expect(computeRefusalShares(20, 6)).toEqual({ nodes: 6, refusalsPerNode: 2 }))

  test('lets only as many nodes risk a refusal as the server bears', () => expect(computeRefusalShares(10, 86)).toEqual({ nodes: 7, refusalsPerNode: 1 }))

  test('lets none risk one at a server that bears none', () => expect(computeRefusalShares(1, 3)).toEqual({ nodes: 0, refusalsPerNode: 0 }))

  // Guards against servers that fail because each node keeps to a limit that is meant for all of them.
  test('all shares together stay within the limit', () => {
    fc.assert(fc.property(fc.nat({ max: 1_000 }), fc.integer({ min: 1, max: 500 }), (limit, members) => {
      const { nodes, refusalsPerNode } = computeRefusalShares(limit, members)
      expect(nodes * refusalsPerNode).toBeLessThanOrEqual(limit)
      expect(nodes).toBeLessThanOrEqual(members)
    }), { seed: 46 })
  })
})
