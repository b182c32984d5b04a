import { describe, expect, it } from 'vitest'
import { formatServerHash, packLoadDigest, unpackLoadDigest } from './index.js'

const createDigest = (inFlight: number) =>
  ({ source: 'node-1', sequence: 7, full: false, counts: [{ backendServer: 'engine-1', inFlight }, { backendServer: 'engine-2', inFlight: 0 }] })

describe('packLoadDigest', () => {
  it.each([0, 1, 255, 256, 65_535])('round-trips a count of %i', (inFlight) => {
    const digest = createDigest(inFlight)
    const counts = digest.counts.map((count) => ({ ...count, backendServer: formatServerHash(count.backendServer) }))
    expect(unpackLoadDigest(packLoadDigest(digest))).toEqual({ ...digest, counts })
  })

  it('clamps counts to 16 bits', () => {
    expect(unpackLoadDigest(packLoadDigest(createDigest(70_000))).counts[0]?.inFlight).toBe(65_535)
  })
})
