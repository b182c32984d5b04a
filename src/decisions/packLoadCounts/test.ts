import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { packLoadCounts, UNREAD_UNIT_TOKENS, unpackLoadCounts, unpackUnreadTokens } from './index.js'

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

describe('unread tokens', () => {
  it('round-trip in units, for servers with requests in flight', () => {
    const packed = packLoadCounts(new Map([[1, 2], [2, 1]]), new Map([[1, 9_000], [3, 9_000]]))
    expect(unpackUnreadTokens(packed)).toEqual(new Map([[1, 35 * UNREAD_UNIT_TOKENS]]))
    expect(packed.unread?.byteLength).toBe(2)
  })

  it('take no bytes where there are none', () => expect(packLoadCounts(new Map([[1, 2]]), new Map([[1, 0]]))).not.toHaveProperty('unread'))

  it.each([
    ['are missing, from a node of an older build', undefined],
    ['do not match the servers', Uint8Array.of(1)]
  ])('count as none where they %s', (_what, unread) => {
    const packed = packLoadCounts(new Map([[1, 2], [2, 1]]))
    expect(unpackUnreadTokens(unread === undefined ? packed : { ...packed, unread })).toEqual(new Map())
  })

  it('do not change the counts that an older build reads', () => {
    const { servers, inFlight } = packLoadCounts(new Map([[1, 2], [2, 1]]), new Map([[1, 9_000]]))
    expect(unpackLoadCounts({ servers, inFlight })).toEqual(new Map([[1, 2], [2, 1]]))
  })
})
