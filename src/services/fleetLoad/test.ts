import { describe, expect, it } from 'vitest'
import { createFleetLoad } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork, type MemoryPeerNetworkOptions } from '../../emulator/createMemoryPeerNetwork/index.js'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import type { Member } from '../../types/index.js'

const PERIOD_MS = 1000
const ZONES = ['venkov-a', 'venkov-b']
/** All stages take one period, and the sums of the first period may be empty. */
const SETTLE_MS = 3 * PERIOD_MS

const createMember = (index: number): Member =>
  ({ nodeId: `node-${index}`, incarnation: 1, address: { host: `node-${index}`, port: 1 }, availabilityZone: ZONES[index % 2]!, state: 'live', generation: 1 })

const createServer = (index: number) => ({ name: `engine-${index}`, availabilityZone: ZONES[index % 2]! })

const SERVERS = [0, 1, 2].map(createServer)

const createFleet = (size: number, fullMeshPeers = 2, known = SERVERS, wallOffsetMs = (_node: number): number => 0, readPeriodMs = (_node: number): number => PERIOD_MS, link: Partial<MemoryPeerNetworkOptions> = {}) => {
  const clock = createManualClock()
  const network = createMemoryPeerNetwork({ clock, ...link })
  const members = Array.from({ length: size }, (_, index) => createMember(index))
  const dead = new Set<string>()
  const listeners: (() => void)[] = []
  const nodes = members.map((self, index) => {
    const counts = new Map<string, number>()
    const unreadTokens = new Map<string, number>()
    let servers = known
    const transport = network.createTransport(self.address)
    const service = createFleetLoad({
      clock: { ...clock, wallTime: () => clock.wallTime() + wallOffsetMs(index) },
      transport,
      membership: { self: () => self, liveMembers: () => members.filter((member) => !dead.has(member.nodeId)), onChange: (listener) => { listeners.push(listener) } },
      readServers: () => servers,
      readCounts: () => counts,
      readUnreadTokens: () => unreadTokens
    }, { fullMeshPeers, periodMs: PERIOD_MS, readPeriodMs: () => readPeriodMs(index) })
    service.start?.()
    const kill = async (): Promise<void> => {
      await service.stop?.()
      await transport.close()
      dead.add(self.nodeId)
      for (const listen of listeners) listen()
    }
    return { self, counts, unreadTokens, kill, fleetLoad: service.api, setServers: (next: typeof SERVERS) => { servers = next } }
  })
  const readAll = (server: string): readonly number[] => nodes.filter(({ self }) => !dead.has(self.nodeId)).map(({ fleetLoad }) => fleetLoad.readOthers(server))
  /** Highest age of a count at any node, over four periods. */
  const readHighestAge = async (): Promise<number> => {
    const ages: number[] = []
    for (let step = 0; step < 100; step++) {
      await clock.advanceAndSettle(PERIOD_MS / 25)
      ages.push(...nodes.map(({ fleetLoad }) => fleetLoad.readSource('engine-0')?.ageMs ?? Infinity))
    }
    return Math.max(...ages)
  }
  return { clock, network, nodes, readAll, readHighestAge, isDead: (nodeId: string) => dead.has(nodeId) }
}

describe('createFleetLoad', () => {
  it.each([3, 300])('gives every node the in-flight requests of all others with %i servers', async (servers) => {
    const { clock, nodes, readAll } = createFleet(9, 2, Array.from({ length: servers }, (_, index) => createServer(index)))
    nodes.forEach(({ counts }, index) => counts.set('engine-1', index + 1))
    await clock.advanceAndSettle(SETTLE_MS)
    expect(readAll('engine-1')).toEqual(nodes.map((_, index) => 45 - (index + 1)))
  })

  it('gives every node the unread prompt tokens of all others', async () => {
    const { clock, nodes } = createFleet(9)
    for (const { counts, unreadTokens } of nodes) {
      counts.set('engine-1', 1)
      unreadTokens.set('engine-1', 2_560)
    }
    await clock.advanceAndSettle(SETTLE_MS)
    expect(nodes.map(({ fleetLoad }) => fleetLoad.readOthersUnread('engine-1')?.tokens)).toEqual(nodes.map(() => 8 * 2_560))
    expect(nodes[0]!.fleetLoad.readOthersUnread('engine-0')?.tokens).toBe(0)
  })

  it('follows counts that drop to 0', async () => {
    const { clock, nodes, readAll } = createFleet(6)
    for (const { counts } of nodes) counts.set('engine-0', 300)
    await clock.advanceAndSettle(SETTLE_MS)
    for (const { counts } of nodes) counts.clear()
    await clock.advanceAndSettle(SETTLE_MS)
    expect(new Set(readAll('engine-0'))).toEqual(new Set([0]))
  })

  it('is not used in a small fleet', async () => {
    const { clock, nodes, readAll } = createFleet(3)
    for (const { counts } of nodes) counts.set('engine-0', 5)
    await clock.advanceAndSettle(SETTLE_MS)
    expect(nodes[0]!.fleetLoad.isActive()).toBe(false)
    expect(new Set(readAll('engine-0'))).toEqual(new Set([0]))
  })

  // Otherwise the counts of dead routers would remain, or no router would sum any more.
  it('continues when routers that sum die', async () => {
    const { clock, nodes, readAll, isDead } = createFleet(8)
    for (const { counts } of nodes) counts.set('engine-2', 1)
    for (const node of nodes.slice(0, 4)) {
      await node.kill()
      await clock.advanceAndSettle(SETTLE_MS)
    }
    await clock.advanceAndSettle(4 * PERIOD_MS)
    expect(nodes.filter(({ self }) => isDead(self.nodeId))).toHaveLength(4)
    expect(new Set(readAll('engine-2'))).toEqual(new Set([3]))
  })

  // Otherwise the counts of an unreachable zone would never expire.
  it('drops the counts of a partitioned zone', async () => {
    const { clock, network, nodes, readAll } = createFleet(8)
    for (const { counts } of nodes) counts.set('engine-0', 1)
    await clock.advanceAndSettle(SETTLE_MS)
    for (const one of nodes) {
      for (const other of nodes) if (one.self.availabilityZone !== other.self.availabilityZone) network.cut(one.self.address, other.self.address)
    }
    await clock.advanceAndSettle(8 * PERIOD_MS)
    expect(new Set(readAll('engine-0'))).toEqual(new Set([3]))
  })

  // Sums that wait for the latest start of their stage arrive half a period late, and a burst would go to one server.
  it('publishes sums as soon as all their inputs have arrived', async () => {
    const { clock, nodes, readAll } = createFleet(9)
    await clock.advanceAndSettle(SETTLE_MS)
    for (const { counts } of nodes) counts.set('engine-0', 1)
    const last = nodes.map(({ fleetLoad }) => fleetLoad.readSource('engine-0')?.sum)
    const ages: number[] = []
    for (let step = 0; step < 2 * PERIOD_MS; step++) {
      await clock.advanceAndSettle(1)
      nodes.forEach(({ fleetLoad }, index) => {
        const { sum, ageMs = Infinity } = fleetLoad.readSource('engine-0') ?? {}
        if (sum !== last[index]) ages.push(ageMs)
        last[index] = sum
      })
    }
    expect(ages.length).toBeGreaterThanOrEqual(9)
    expect(Math.max(...ages)).toBeLessThanOrEqual(PERIOD_MS / 10)
    expect(new Set(readAll('engine-0'))).toEqual(new Set([8]))
  })

  // A sum that waits for the wall clock of a node whose clock is ahead or behind is older than the next one should be.
  it.each([0, 40, 400, 5_000])('counts within a period plus the time to sum when clocks are up to %i ms apart', async (distanceMs) => {
    const { clock, readHighestAge } = createFleet(24, 2, SERVERS, (node) => Math.round(distanceMs * node / 23))
    await clock.advanceAndSettle(SETTLE_MS)
    expect(await readHighestAge()).toBeLessThanOrEqual(1.3 * PERIOD_MS)
  })

  // Rounds must not fall apart when messages are late by different times and some are lost.
  it.each([1, 2, 3])('recovers from lost and late snapshots (seed %i)', async (seed) => {
    const random = createSeededRandom(seed).next
    let isDisturbed = true
    const link = { delayMs: () => isDisturbed ? random() * PERIOD_MS / 4 : 5, isLost: () => isDisturbed && random() < 0.05 }
    const { clock, nodes, readAll, readHighestAge } = createFleet(24, 2, SERVERS, () => Math.floor(random() * 3 * PERIOD_MS), () => PERIOD_MS, link)
    for (const { counts } of nodes) counts.set('engine-0', 1)
    await clock.advanceAndSettle(20 * PERIOD_MS)
    isDisturbed = false
    await clock.advanceAndSettle(5 * PERIOD_MS)
    expect(await readHighestAge()).toBeLessThanOrEqual(1.3 * PERIOD_MS)
    expect(new Set(readAll('engine-0'))).toEqual(new Set([23]))
  })

  // Clocks that are stepped, as by a time service, must not delay or repeat sums.
  it('goes on when wall clocks jump', async () => {
    let jumpMs = 0
    const { clock, nodes, readAll } = createFleet(12, 2, SERVERS, (node) => node % 3 === 0 ? jumpMs : 0)
    for (const { counts } of nodes) counts.set('engine-0', 1)
    await clock.advanceAndSettle(SETTLE_MS)
    for (const jump of [-7_300, 2_150, 0]) {
      jumpMs = jump
      await clock.advanceAndSettle(2 * PERIOD_MS)
      expect(Math.max(...nodes.map(({ fleetLoad }) => fleetLoad.readSource('engine-0')?.ageMs ?? Infinity))).toBeLessThanOrEqual(1.3 * PERIOD_MS)
      expect(new Set(readAll('engine-0'))).toEqual(new Set([11]))
    }
  })

  // Nodes that have another list of servers or no configuration yet have another period.
  it('keeps nodes with another period in step', async () => {
    const { clock, readHighestAge } = createFleet(24, 2, SERVERS, () => 0, (node) => node % 4 === 3 ? 0.4 * PERIOD_MS : PERIOD_MS)
    await clock.advanceAndSettle(SETTLE_MS)
    expect(await readHighestAge()).toBeLessThanOrEqual(1.3 * PERIOD_MS)
  })

  it('does not wait for a router that is not responding', async () => {
    const { clock, network, nodes, readAll } = createFleet(9)
    for (const { counts } of nodes) counts.set('engine-0', 1)
    const unresponsive = nodes[8]!
    for (const other of nodes.slice(0, 8)) network.cut(unresponsive.self.address, other.self.address)
    await clock.advanceAndSettle(SETTLE_MS)
    expect(readAll('engine-0').slice(0, 8)).toEqual(Array.from({ length: 8 }, () => 7))
  })

  // During a rolling release the list changes many times a second and differs between nodes. Counts that are valid for one list only would all be dropped.
  it('counts the load of servers that are in both of two different lists', async () => {
    const { clock, nodes, readAll } = createFleet(76)
    nodes.forEach(({ counts, setServers }, index) => {
      setServers(index % 2 === 0 ? [createServer(3), ...SERVERS] : [...SERVERS, createServer(5)])
      counts.set('engine-1', 1)
    })
    await clock.advanceAndSettle(SETTLE_MS)
    expect(new Set(readAll('engine-1'))).toEqual(new Set([75]))
  })

  // Servers may be in a different order in the list of one node; their loads must not be mixed up.
  it('does not attribute the load of one server to another', async () => {
    const { clock, nodes, readAll } = createFleet(6)
    for (const { counts } of nodes) counts.set('engine-0', 4)
    nodes[0]!.setServers([createServer(2), createServer(0), createServer(1)])
    await clock.advanceAndSettle(SETTLE_MS)
    expect(new Set(readAll('engine-0'))).toEqual(new Set([20]))
    expect(new Set(readAll('engine-2'))).toEqual(new Set([0]))
  })

  it('reports no load for a server that is not in its own list', async () => {
    const { clock, nodes } = createFleet(6)
    for (const { counts } of nodes) counts.set('engine-0', 4)
    nodes[0]!.setServers([createServer(1)])
    await clock.advanceAndSettle(SETTLE_MS)
    expect(nodes[0]!.fleetLoad.readOthers('engine-0')).toBe(0)
    expect(nodes[1]!.fleetLoad.readOthers('engine-0')).toBe(16)
  })
})
