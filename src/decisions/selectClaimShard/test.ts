import { describe, expect, it } from 'vitest'
import { selectClaimShard } from './index.js'

describe('selectClaimShard', () => {
  it('spreads keys over all shards', () => {
    const shards = new Set(Array.from({ length: 1_000 }, (_, index) => selectClaimShard(`["deli","order-${index}"]`, 16)))
    expect(shards.size).toBe(16)
  })

  it('accepts the empty key', () => {
    expect(selectClaimShard('', 4)).toBeLessThan(4)
  })
})
