import { describe, expect, test } from 'vitest'
import { createOverheadMeter } from './_lib/createOverheadMeter.js'

const HEAD_BYTES = 500

/** Parses a head and then pieces of the body, each with its framing; returns the number of pieces until the bound is exceeded. */
const countPieces = (pieces: number, bodyBytes: number, framingBytes: number): number => {
  const meter = createOverheadMeter()
  meter.begin(1_000)
  let parsed = 1_000 + HEAD_BYTES
  for (let piece = 0; piece < pieces; piece++) {
    if (meter.exceeds(parsed)) return piece
    parsed += bodyBytes + framingBytes
    if (bodyBytes > 0) meter.recordBody(bodyBytes)
  }
  return pieces
}

describe('createOverheadMeter', () => {
  test.each([['large chunks', 65_536, 8], ['single bytes', 1, 5], ['events of tokens', 120, 6]])('lets an answer of any length pass in %s', (_, bodyBytes, framingBytes) => {
    expect(countPieces(100_000, bodyBytes, framingBytes)).toBe(100_000)
  })

  // A large body must not pay for framing without end that follows it.
  test('finds framing without end, also behind a large body', () => {
    const meter = createOverheadMeter()
    meter.begin(0)
    meter.recordBody(10_000_000)
    expect(meter.exceeds(10_000_500)).toBe(false)
    expect([meter.exceeds(10_060_000), meter.exceeds(10_070_000)]).toEqual([false, true])
  })

  test('finds a head without end', () => {
    expect(countPieces(100, 0, 10_000)).toBeLessThan(10)
  })
})
