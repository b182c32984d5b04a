/** What the nodes of a fleet too large for everybody to talk to everybody know of each other's requests. */
import { afterEach, expect, test } from 'vitest'
import { createKnowledgeFleet, type KnowledgeFleet } from '../../src/emulator/createKnowledgeFleet/index.js'

const KEYS = ['engine-1@1', 'engine-2@1']
/** Two sums and the way of each. */
const KNOWN_MS = 1_300

const fleets: KnowledgeFleet[] = []

const start = async (): Promise<KnowledgeFleet> => {
  const fleet = createKnowledgeFleet({ nodesPerZone: 8, zones: 2, random: () => 0.5 })
  fleets.push(fleet)
  fleet.putInstance('engine-1', { availabilityZone: 'zone-0' })
  fleet.putInstance('engine-2', { availabilityZone: 'zone-1' })
  await fleet.start()
  await fleet.clock.advanceAndSettle(6_000)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.stop() })

const startRequests = (fleet: KnowledgeFleet): void => {
  for (const node of fleet.nodes) for (const key of KEYS) node.resolve('loadView').recordStart(key)
}

const readLoads = (fleet: KnowledgeFleet): ReadonlySet<number> =>
  new Set(fleet.nodes.flatMap((node) => KEYS.map((key) => node.resolve('loadView').estimateInFlight(key))))

test('each node counts the requests of all nodes, its own once', async () => {
  const fleet = await start()
  startRequests(fleet)
  await fleet.clock.advanceAndSettle(KNOWN_MS)
  expect(readLoads(fleet)).toEqual(new Set([16]))
})

// While the list changes, a full server would pass for an idle one.
test('counts stay with their servers while the list changes', async () => {
  const fleet = await start()
  startRequests(fleet)
  for (const id of ['engine-0', 'engine-15', 'engine-3']) {
    fleet.putInstance(id)
    await fleet.clock.advanceAndSettle(KNOWN_MS)
    expect(readLoads(fleet)).toEqual(new Set([16]))
  }
  fleet.removeInstance('engine-0')
  await fleet.clock.advanceAndSettle(KNOWN_MS)
  expect(readLoads(fleet)).toEqual(new Set([16]))
})

// A node loses power with its requests open. Its counts would hold servers for full for ever.
test('requests of a node that is gone are forgotten', async () => {
  const fleet = await start()
  startRequests(fleet)
  await fleet.clock.advanceAndSettle(KNOWN_MS)
  await fleet.nodes[5]!.stop()
  for (let other = 0; other < fleet.nodes.length; other++) if (other !== 5) fleet.network.cut(fleet.addressOf(5), fleet.addressOf(other))
  await fleet.clock.advanceAndSettle(10_000)
  const others = fleet.nodes.filter((_, index) => index !== 5)
  expect(new Set(others.map((node) => node.resolve('loadView').estimateInFlight(KEYS[0]!)))).toEqual(new Set([15]))
})
