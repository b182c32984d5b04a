import { describe, expect, test } from 'vitest'
import { judgePartition, PARTITION_AFTER_MS, type UnreachableServer } from './index.js'

const LONG_AGO = 0
const NOW = 10_000

const createServers = (zones: readonly string[], since = LONG_AGO): readonly UnreachableServer[] => zones.map((availabilityZone) => ({ availabilityZone, since }))

describe('judgePartition', () => {
  test('concludes that a zone is cut off from two of its servers', () => {
    const { zones, isCutOff } = judgePartition(createServers(['a', 'a', 'b']), NOW, NOW)
    expect([...zones]).toEqual(['a'])
    expect(isCutOff).toBe(false)
  })

  test('concludes that this node is cut off from servers of two zones while nothing arrives from any', () => {
    expect(judgePartition(createServers(['a', 'b']), LONG_AGO, NOW).isCutOff).toBe(true)
  })

  test('takes no single server for a partition', () => {
    expect(judgePartition(createServers(['a']), LONG_AGO, NOW)).toEqual({ zones: new Set(), isCutOff: false })
  })

  // Guards against taking sound servers that are silent for about a second for a partition.
  test('concludes nothing from a second of silence', () => {
    const servers = createServers(['a', 'a', 'b', 'b'], NOW - 1_200)
    expect(judgePartition(servers, NOW - 1_200, NOW)).toEqual({ zones: new Set(), isCutOff: false })
    expect(judgePartition(servers, NOW - 1_200, NOW + PARTITION_AFTER_MS).isCutOff).toBe(true)
  })
})
