import { describe, expect, it } from 'vitest'
import { selectForwardTargets } from './index.js'

describe('selectForwardTargets', () => {
  it.each([1, 2, 3, 7, 45])('reaches each of %i routers exactly once', (size) => {
    const ranked = Array.from({ length: size }, (_, index) => index)
    const reached = ranked.flatMap((self) => selectForwardTargets(ranked, self, 2))
    expect([ranked[0], ...reached].sort((one, other) => one! - other!)).toEqual(ranked)
  })

  it('returns no targets for a router that is not ranked', () => {
    expect(selectForwardTargets(['a', 'b'], 'c', 2)).toEqual([])
  })
})
