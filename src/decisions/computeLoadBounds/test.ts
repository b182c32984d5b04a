import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { computeLoadBounds } from './index.js'

describe('computeLoadBounds', () => {
  it('gives no bounds for no candidates', () => {
    expect(computeLoadBounds([], 1.5).size).toBe(0)
  })

  it('allows one request on an idle server', () => {
    const candidates = Array.from({ length: 12 }, (_, index) => ({ name: `engine-${index}`, weight: 8, inFlight: 0 }))
    expect(computeLoadBounds(candidates, 1.25).get('engine-3')).toBe(1)
  })

  it('gives a server with twice the weight twice the bound', () => {
    const bounds = computeLoadBounds([{ name: 'small', weight: 4, inFlight: 10 }, { name: 'large', weight: 8, inFlight: 19 }], 1.5)
    expect([bounds.get('small'), bounds.get('large')]).toEqual([15, 30])
  })

  it('always leaves a candidate under its bound', () => {
    const candidate = fc.record({ weight: fc.integer({ min: 1, max: 64 }), inFlight: fc.integer({ min: 0, max: 200 }) })
    fc.assert(fc.property(fc.array(candidate, { minLength: 1, maxLength: 30 }), fc.double({ min: 1, max: 3, noNaN: true }), (parts, multiple) => {
      const candidates = parts.map((part, index) => ({ name: `engine-${index}`, ...part }))
      const bounds = computeLoadBounds(candidates, multiple)
      return candidates.some(({ name, inFlight }) => inFlight < (bounds.get(name) ?? 0))
    }), { seed: 20_261_202 })
  })
})
