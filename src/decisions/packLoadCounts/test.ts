import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { packLoadCounts, unpackLoadCounts } from './index.js'

const SEED = 20_264

describe('packLoadCounts', () => {
  it('round-trips counts', () => {
    const entries = fc.uniqueArray(fc.tuple(fc.nat({ max: 0xffffffff }), fc.integer({ min: 1, max: 0xffff })), { selector: ([server]) => server })
    fc.assert(fc.property(entries, (pairs) => {
      const counts = new Map(pairs)
      expect(unpackLoadCounts(packLoadCounts(counts))).toEqual(counts)
    }), { seed: SEED })
  })

  it.each([
    { counts: [[1, 0]], bytes: 1 },
    { counts: [[1, 255], [2, 1]], bytes: 2 },
    { counts: [[1, 256], [2, 1]], bytes: 4 }
  ] as const)('packs $counts into $bytes bytes of counts', ({ counts, bytes }) => {
    expect(packLoadCounts(new Map(counts)).inFlight.byteLength).toBe(bytes)
  })
})
