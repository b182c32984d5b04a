import { describe, expect, it } from 'vitest'
import { selectHeartbeatTargets } from './index.js'
import type { HeartbeatFanOut } from './index.js'
import type { Member } from '../../types/index.js'

const FAN_OUT: HeartbeatFanOut = { fullMeshPeers: 3, zoneWatchers: 2, remoteWatchers: 1, randomZonePeers: 1, randomRemotePeers: 1 }

const createMember = (index: number, zoneCount: number): Member =>
  ({ nodeId: `node-${index}`, incarnation: 1, address: { host: `node-${index}`, port: 1 }, availabilityZone: `zone-${index % zoneCount}`, state: 'live', generation: 0 })

const createFleet = (size: number, zoneCount: number): readonly Member[] => Array.from({ length: size }, (_, index) => createMember(index, zoneCount))

const selectAll = (fleet: readonly Member[]) =>
  new Map(fleet.map((self) => [self, selectHeartbeatTargets(self, fleet.filter((peer) => peer !== self), FAN_OUT, () => 0)]))

describe('selectHeartbeatTargets', () => {
  it('selects every peer of a small fleet', () => {
    const [self, ...peers] = createFleet(4, 2)
    expect(selectHeartbeatTargets(self!, peers, FAN_OUT, () => 0)).toEqual({ watchers: peers, watched: peers, randomPeers: [] })
  })

  it('selects no peer for a single node', () => {
    expect(selectHeartbeatTargets(createMember(0, 1), [], FAN_OUT, () => 0).watchers).toEqual([])
  })

  it.each([
    { size: 5, zoneCount: 1 },
    { size: 30, zoneCount: 3 },
    { size: 40, zoneCount: 8 },
    { size: 9, zoneCount: 8 }
  ])('agrees on who watches whom among $size nodes in $zoneCount zones', ({ size, zoneCount }) => {
    const targets = selectAll(createFleet(size, zoneCount))
    const watchers = [...targets].flatMap(([self, { watchers }]) => watchers.map((watcher) => `${watcher.nodeId} watches ${self.nodeId}`))
    const watched = [...targets].flatMap(([self, { watched }]) => watched.map((peer) => `${self.nodeId} watches ${peer.nodeId}`))
    expect(watched.sort()).toEqual(watchers.sort())
  })

  it('gives every node a watcher outside its zone', () => {
    for (const [self, { watchers }] of selectAll(createFleet(40, 8))) {
      expect(watchers.some((watcher) => watcher.availabilityZone !== self.availabilityZone)).toBe(true)
    }
  })

  it('selects at most the fan-out number of peers in a large fleet', () => {
    for (const { watchers, randomPeers } of selectAll(createFleet(120, 8)).values()) expect(watchers.length + randomPeers.length).toBeLessThanOrEqual(5)
  })
})
