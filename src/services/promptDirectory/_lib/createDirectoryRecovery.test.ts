import { describe, expect, test } from 'vitest'
import { createDirectoryRecovery } from './createDirectoryRecovery.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../../emulator/createMemoryPeerNetwork/index.js'
import { success } from '../../../kernel/index.js'
import type { BackendInstance, CachedParts, Logger, Member } from '../../../types/index.js'

const SILENT_LOGGER: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const ANSWER_MS = 10

const createEngine = (index: number, zone: string): BackendInstance =>
  ({ id: `engine-${zone}-${index}`, service: 'engines', address: { host: `engine-${index}`, port: 1 }, availabilityZone: zone, slots: 64, isLeaving: false, incarnation: 1, warmUpMs: 0 })

const createMember = (index: number, zone: string): Member =>
  ({ nodeId: `node-${zone}-${index}`, incarnation: 1, address: { host: `node-${zone}-${index}`, port: 1 }, availabilityZone: zone, state: 'live', generation: 1 })

type FleetOptions = { readonly nodesPerZone: number, readonly enginesPerZone: number, readonly restarted?: number, readonly mayQuery?: (engine: BackendInstance) => boolean }

/** Nodes of two zones. The first `restarted` nodes (by default all) have just started. Announcements reach all nodes at once. */
const createFleet = ({ nodesPerZone, enginesPerZone, restarted = Infinity, mayQuery = () => true }: FleetOptions) => {
  const clock = createManualClock()
  const network = createMemoryPeerNetwork({ clock })
  const zones = ['a', 'b']
  const engines = zones.flatMap((zone) => Array.from({ length: enginesPerZone }, (_, index) => createEngine(index, zone)))
  const members = zones.flatMap((zone) => Array.from({ length: nodesPerZone }, (_, index) => createMember(index, zone)))
  const lists = new Map<string, number>()
  let seed = 0
  const nodes = members.map((self, index) => {
    const transport = network.createTransport(self.address)
    const known = new Set<string>(index < restarted ? [] : engines.map(formatInstanceKey))
    const recordAll = (cachedParts: readonly CachedParts[]): void => { for (const { server } of cachedParts) known.add(server) }
    const recovery = createDirectoryRecovery({
      clock,
      transport,
      membership: { self: () => self, liveMembers: () => members },
      hasLocations: (key) => known.has(key),
      recordAll,
      announce: (_part, key) => { for (const node of nodes) node.known.add(key) },
      recovery: {
        logger: SILENT_LOGGER,
        random: { next: () => (seed = (seed + 0.37) % 1), nextId: () => 'id' },
        registry: { all: () => engines },
        promptCacheSource: {
          list: async ({ id }) => {
            lists.set(id, (lists.get(id) ?? 0) + 1)
            await new Promise<void>((resolve) => { clock.setTimer(ANSWER_MS, resolve) })
            return success([{ id: `part of ${id}`, tokens: 100 }])
          }
        },
        availabilityZone: self.availabilityZone,
        isEngine: () => true,
        mayQuery,
        recordNotice: () => {},
        areEnginesKnown: () => true,
        onEnginesChange: () => {}
      }
    })
    transport.handle('promptPlacesRequest', () =>
      ({ kind: 'promptPlaces', places: [...known].map((server) => ({ server, parts: ['part'] })), isWhole: index >= restarted || recovery.isWhole() }))
    return { recovery, known }
  })
  return {
    clock,
    nodes,
    engines,
    start: () => { for (const [index, { recovery }] of nodes.entries()) if (index < restarted) recovery.start() },
    listQueried: () => [...lists.keys()],
    countCacheReads: () => [...lists.values()].reduce((sum, count) => sum + count, 0),
    readMaximumLists: () => Math.max(0, ...lists.values())
  }
}

describe('recovery of the prompt directory', () => {
  // After a power failure, prompts would otherwise be computed again, or a burst of queries would hit the engines.
  test.each([[1, 3], [3, 6], [25, 33]])('reaches all nodes after a start of %i nodes per zone with %i engines, each queried once', async (nodesPerZone, enginesPerZone) => {
    const fleet = createFleet({ nodesPerZone, enginesPerZone })
    fleet.start()
    await fleet.clock.advanceAndSettle(400)
    expect(fleet.readMaximumLists()).toBe(1)
    for (const { known } of fleet.nodes) expect(known.size).toBe(2 * enginesPerZone)
  })

  test('queries a running peer and no engines when a single node restarts', async () => {
    const fleet = createFleet({ nodesPerZone: 3, enginesPerZone: 6, restarted: 1 })
    fleet.start()
    await fleet.clock.advanceAndSettle(3_000)
    expect(fleet.countCacheReads()).toBe(0)
    expect(fleet.nodes[0]!.known.size).toBe(12)
    expect(fleet.nodes[0]!.recovery.isWhole()).toBe(true)
  })

  // A query is work for an engine that asked for none, or one that is about to exit.
  test('queries no engine that accepts no queries', async () => {
    const fleet = createFleet({ nodesPerZone: 3, enginesPerZone: 6, mayQuery: ({ id }) => id !== 'engine-a-0' })
    fleet.start()
    await fleet.clock.advanceAndSettle(5_000)
    expect(fleet.listQueried()).toHaveLength(11)
    expect(fleet.listQueried()).not.toContain('engine-a-0')
  })

  test('queries an engine later that accepts queries again', async () => {
    const fleet = createFleet({ nodesPerZone: 1, enginesPerZone: 1, mayQuery: () => fleet.clock.now() > 500 })
    fleet.start()
    await fleet.clock.advanceAndSettle(400)
    expect(fleet.countCacheReads()).toBe(0)
    await fleet.clock.advanceAndSettle(5_000)
    expect(fleet.countCacheReads()).toBe(2)
  })
})
