import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { createGatheredBytes } from './index.js'

describe('createGatheredBytes', () => {
  // Guards against bytes lost or exchanged between pieces that are copied and pieces that are kept.
  test('returns the pieces joined, whatever their sizes', () => {
    fc.assert(fc.property(fc.array(fc.oneof(fc.uint8Array({ maxLength: 8 }), fc.integer({ min: 4_000, max: 4_200 }).map((length) => new Uint8Array(length).fill(length % 251))), { maxLength: 40 }), (pieces) => {
      const gathered = createGatheredBytes()
      for (const round of [1, 2]) {
        for (const piece of pieces) gathered.push(piece)
        expect(gathered.length(), `round ${round}`).toBe(pieces.reduce((sum, piece) => sum + piece.length, 0))
        expect(gathered.take().equals(Buffer.concat(pieces))).toBe(true)
      }
    }), { seed: 5, numRuns: 50 })
  })
})
