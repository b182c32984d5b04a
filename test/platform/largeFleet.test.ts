/** Tests membership and load views in fleets that are too large for a full mesh of heartbeats. */
import { afterEach, describe, expect, test } from 'vitest'
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'
import { createInProcessFleet, type InProcessFleet, type InProcessFleetOptions } from '../../src/emulator/createInProcessFleet/index.js'

const KEYS = ['engine-1@1', 'engine-2@1']
/** Two intervals of load aggregation plus the transmission of each sum. */
const PROPAGATION_MS = 1_300

const fleets: InProcessFleet[] = []

const start = async (options: Omit<InProcessFleetOptions, 'random'> = { nodesPerZone: 8, zones: 2 }, random: () => number = () => 0.5): Promise<InProcessFleet> => {
  const fleet = createInProcessFleet({ ...options, random })
  fleets.push(fleet)
  fleet.putInstance('engine-1', { availabilityZone: 'zone-0' })
  fleet.putInstance('engine-2', { availabilityZone: 'zone-1' })
  await fleet.start()
  await fleet.clock.advanceAndSettle(6_000)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.stop() })

const startRequests = (fleet: InProcessFleet): void => {
  for (const node of fleet.nodes) for (const key of KEYS) node.resolve('loadView').recordStart(key)
}

const readLoads = (fleet: InProcessFleet): ReadonlySet<number> =>
  new Set(fleet.nodes.flatMap((node) => KEYS.map((key) => node.resolve('loadView').estimateInFlight(key))))

test('each node counts the requests of all nodes, its own once', async () => {
  const fleet = await start()
  startRequests(fleet)
  await fleet.clock.advanceAndSettle(PROPAGATION_MS)
  expect(readLoads(fleet)).toEqual(new Set([16]))
})

// A count that moves to another server when the list changes would make a full server look idle.
test('counts stay with their servers while the list changes', async () => {
  const fleet = await start()
  startRequests(fleet)
  for (const id of ['engine-0', 'engine-15', 'engine-3']) {
    fleet.putInstance(id)
    await fleet.clock.advanceAndSettle(PROPAGATION_MS)
    expect(readLoads(fleet)).toEqual(new Set([16]))
  }
  fleet.removeInstance('engine-0')
  await fleet.clock.advanceAndSettle(PROPAGATION_MS)
  expect(readLoads(fleet)).toEqual(new Set([16]))
})

// A node loses power with open requests. If its counts stayed, servers would look full forever.
test('requests of a dead node are no longer counted', async () => {
  const fleet = await start()
  startRequests(fleet)
  await fleet.clock.advanceAndSettle(PROPAGATION_MS)
  await fleet.nodes[5]!.stop()
  for (let other = 0; other < fleet.nodes.length; other++) if (other !== 5) fleet.network.cut(fleet.addressOf(5), fleet.addressOf(other))
  await fleet.clock.advanceAndSettle(10_000)
  const others = fleet.nodes.filter((_, index) => index !== 5)
  expect(new Set(others.map((node) => node.resolve('loadView').estimateInFlight(KEYS[0]!)))).toEqual(new Set([15]))
})

describe.each([1, 2, 3])('75 nodes that start at the same time (seed %i)', (seed) => {
  const SIZE = { nodesPerZone: 25, zones: 3 }
  const RESTARTED = [5, 12, 20, 33, 41, 50, 58, 66, 70, 74]

  const countLive = (fleet: InProcessFleet): readonly number[] =>
    [...new Set(fleet.nodes.map((node) => node.resolve('membership').liveMembers().length))]

  // Nodes with different views send heartbeats to different peers, so healthy nodes were suspected.
  // Gossip updates and refutations then kept the views apart for half a minute.
  test('all see each other as live within seconds, also after the restart of a tenth of them', async () => {
    const fleet = await start(SIZE, createSeededRandom(seed).next)
    await fleet.clock.advanceAndSettle(2_000)
    expect(countLive(fleet)).toEqual([75])
    for (const index of RESTARTED) await fleet.restart(index)
    await fleet.clock.advanceAndSettle(3_000)
    expect(countLive(fleet)).toEqual([75])
  })

  // A node whose ranking of the summing nodes differs from its peers' receives no load sums,
  // counts no requests of others and sends to full servers.
  test('count the load of all nodes after the restart of a tenth of them', async () => {
    const fleet = await start(SIZE, createSeededRandom(seed).next)
    for (const node of fleet.nodes) node.resolve('loadView').recordStart(KEYS[0]!)
    for (const index of RESTARTED) await fleet.restart(index)
    await fleet.clock.advanceAndSettle(4_000)
    const loads = fleet.nodes.map((node) => node.resolve('loadView').estimateInFlight(KEYS[0]!))
    expect(new Set(loads)).toEqual(new Set([75 - RESTARTED.length]))
  })

  test('send little heartbeat traffic once their views agree', async () => {
    const fleet = await start(SIZE, createSeededRandom(seed).next)
    await fleet.clock.advanceAndSettle(6_000)
    const sumBytes = (): number => fleet.transports.reduce((sum, transport) => sum + (transport.bytesSent().get('heartbeat') ?? 0), 0)
    const before = sumBytes()
    await fleet.clock.advanceAndSettle(5_000)
    expect((sumBytes() - before) / fleet.nodes.length / 5).toBeLessThan(1_024)
  })
})
