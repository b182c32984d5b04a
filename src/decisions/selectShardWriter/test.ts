import { describe, expect, it } from 'vitest'
import { selectShardWriter } from './index.js'

const SHARDS = Array.from({ length: 64 }, (_, shard) => shard)

describe('selectShardWriter', () => {
  it('does not depend on the order of the nodes', () => {
    const nodeIds = ['r1', 'r2', 'r3']
    expect(SHARDS.map((shard) => selectShardWriter(nodeIds, shard))).toEqual(SHARDS.map((shard) => selectShardWriter([...nodeIds].reverse(), shard)))
  })

  it('moves only the shards of a node that left', () => {
    const before = SHARDS.map((shard) => selectShardWriter(['r1', 'r2', 'r3'], shard))
    const after = SHARDS.map((shard) => selectShardWriter(['r1', 'r2'], shard))
    const moved = SHARDS.filter((shard) => before[shard] !== after[shard])
    expect(moved).toEqual(SHARDS.filter((shard) => before[shard] === 'r3'))
  })

  it('gives each node some shards', () => {
    expect(new Set(SHARDS.map((shard) => selectShardWriter(['r1', 'r2', 'r3'], shard))).size).toBe(3)
  })

  it('returns undefined without live nodes', () => {
    expect(selectShardWriter([], 0)).toBeUndefined()
  })
})
