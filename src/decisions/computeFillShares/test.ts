import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { computeFillShares } from './index.js'

const createOptions = (costs: readonly number[], costPerRequest = 1) => costs.map((cost) => ({ cost, costPerRequest }))

const optionArbitrary = fc.record({ cost: fc.double({ min: -1e4, max: 1e4, noNaN: true }), costPerRequest: fc.double({ min: 0.1, max: 1e3, noNaN: true }) })

describe('computeFillShares', () => {
  it('gives one request to the cheapest option when the others cost more by as much', () => {
    expect(computeFillShares(createOptions([3, 0, 1]), 1)).toEqual([0, 1, 0])
  })

  it('shares one request out among equal options', () => {
    expect(computeFillShares(createOptions([2, 2]), 1)).toEqual([0.5, 0.5])
  })

  it('shares out no requests among the cheapest options', () => {
    expect(computeFillShares(createOptions([2, 3, 2]), 0)).toEqual([0.5, 0, 0.5])
  })

  it('fills up the cheap options first', () => {
    expect(computeFillShares(createOptions([0, 1, 9]), 3)).toEqual([2 / 3, 1 / 3, 0])
  })

  it('nears equal shares with many requests', () => {
    for (const share of computeFillShares(createOptions([0, 1, 2]), 3_000)) expect(share).toBeCloseTo(1 / 3, 3)
  })

  it('gives fewer requests to an option that each request makes dearer', () => {
    expect(computeFillShares([{ cost: 0, costPerRequest: 1 }, { cost: 0, costPerRequest: 3 }], 4)).toEqual([0.75, 0.25])
  })

  it('gives out all requests, and none above the level that it reaches', () => {
    fc.assert(fc.property(fc.array(optionArbitrary, { minLength: 1, maxLength: 40 }), fc.double({ min: 0.5, max: 500, noNaN: true }), (options, requests) => {
      const shares = computeFillShares(options, requests)
      const costs = options.map(({ cost, costPerRequest }, index) => cost + shares[index]! * requests * costPerRequest)
      const filled = costs.filter((_, index) => shares[index]! > 0)
      expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(1, 6)
      expect(Math.max(...filled) - Math.min(...filled)).toBeLessThan(1e-6)
      expect(Math.min(...costs)).toBeGreaterThan(Math.max(...filled) - 1e-6)
    }))
  })
})
