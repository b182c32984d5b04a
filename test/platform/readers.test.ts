/** Tests how the nodes of a zone learn the source's state from the few that read it, with interleavings on a manual clock. */
import { afterEach, describe, expect, test } from 'vitest'
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'
import { createInProcessFleet, type InProcessFleet, type InProcessFleetOptions } from '../../src/emulator/createInProcessFleet/index.js'

const fleets: InProcessFleet[] = []

const start = async (options: Omit<InProcessFleetOptions, 'random'>, seed = 1): Promise<InProcessFleet> => {
  const fleet = createInProcessFleet({ ...options, random: createSeededRandom(seed).next })
  fleets.push(fleet)
  fleet.putInstance('engine-1')
  fleet.putInstance('engine-2')
  await fleet.start()
  await fleet.clock.advanceAndSettle(6_000)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.stop() })

const readVersions = (fleet: InProcessFleet): readonly number[] => fleet.nodes.map((node) => node.resolve('gatewayConfiguration').version())

const readServers = (fleet: InProcessFleet): readonly string[] =>
  fleet.nodes.map((node) => node.resolve('instanceRegistry').list('engines').map(({ id, incarnation }) => `${id}@${incarnation}`).sort().join())

const measureCalls = async (nodesPerZone: number): Promise<number> => {
  const fleet = await start({ nodesPerZone })
  const before = fleet.countCalls()
  await fleet.clock.advanceAndSettle(10_000)
  return fleet.countCalls() - before
}

describe('calls to the source', () => {
  test('do not grow with the nodes of a zone', async () => {
    expect(await measureCalls(24)).toBeLessThanOrEqual(await measureCalls(3) + 2)
  })

  test.each([[1, 2], [2, 2], [3, 3]])('are made by one node of each of %i zones, by two at least', async (zones, readers) => {
    const fleet = await start({ nodesPerZone: 5, zones })
    expect(fleet.nodes.filter((node) => node.resolve('knowledgeExchange').isReader())).toHaveLength(readers)
  })
})

// If all nodes polled as often as the readers during an outage, the recovering store would get hundreds of calls at once.
test('an outage of the source does not multiply the calls', async () => {
  const fleet = await start({ nodesPerZone: 24 })
  for (let node = 0; node < 24; node++) fleet.setReachable(node, false)
  const before = fleet.countCalls()
  await fleet.clock.advanceAndSettle(10_000)
  expect(fleet.countCalls() - before).toBeLessThan(500)
})

describe('a node that relies on readers', () => {
  test('has a new configuration within a second', async () => {
    const fleet = await start({ nodesPerZone: 12 })
    fleet.applyVersion()
    await fleet.clock.advanceAndSettle(1_000)
    expect(new Set(readVersions(fleet))).toEqual(new Set([fleet.getNewestVersion(fleet.clock.now())]))
  })

  test('has a server\'s leaving mark within a quarter of a second', async () => {
    const fleet = await start({ nodesPerZone: 12 })
    fleet.putInstance('engine-2', { isLeaving: true })
    await fleet.clock.advanceAndSettle(250)
    expect(new Set(readServers(fleet))).toEqual(new Set(['engine-1@1']))
  })

  // A zone whose readers lost the store would send requests to a server that was removed.
  test('reads for itself when both readers lose the source', async () => {
    const fleet = await start({ nodesPerZone: 6 })
    fleet.setReachable(0, false)
    fleet.setReachable(1, false)
    fleet.removeInstance('engine-2')
    await fleet.clock.advanceAndSettle(2_000)
    expect(readServers(fleet).slice(2)).toEqual(Array(4).fill('engine-1@1'))
  })

  // Readers that confirmed the configuration but could not read the lists vouched for these as well.
  test('reads for itself when the readers can read the configuration alone', async () => {
    const fleet = await start({ nodesPerZone: 6 })
    for (const reader of [0, 1]) fleet.setListsReadable(reader, false)
    await fleet.clock.advanceAndSettle(2_500)
    fleet.removeInstance('engine-2')
    fleet.beginDrain('zone-0')
    await fleet.clock.advanceAndSettle(2_500)
    expect(readServers(fleet).slice(2)).toEqual(Array(4).fill('engine-1@1'))
    expect(fleet.nodes.map((node) => node.resolve('zoneDrains').isDrained('zone-0')).slice(2)).toEqual(Array(4).fill(true))
  })

  // Readers that fail at the same time, as when a rack is lost, would leave their zone without updates.
  test('reads for itself when both readers stop responding', async () => {
    const fleet = await start({ nodesPerZone: 6 })
    for (const reader of [0, 1]) {
      fleet.setReachable(reader, false)
      for (let other = 0; other < 6; other++) if (other !== reader) fleet.network.cut(fleet.addressOf(reader), fleet.addressOf(other))
    }
    fleet.applyVersion()
    fleet.putInstance('engine-1', { incarnation: 2 })
    await fleet.clock.advanceAndSettle(2_000)
    expect(readServers(fleet).slice(2)).toEqual(Array(4).fill('engine-1@2,engine-2@1'))
    expect(new Set(readVersions(fleet).slice(2))).toEqual(new Set([4]))
  })

  // The only reader of a zone stops responding. Its nodes would get no update until it is declared dead.
  test('gets updates from the next zone when its own reader stops responding', async () => {
    const fleet = await start({ nodesPerZone: 4, zones: 2 })
    fleet.setReachable(0, false)
    for (let other = 1; other < 8; other++) fleet.network.cut(fleet.addressOf(0), fleet.addressOf(other))
    for (const node of [2, 4, 6]) fleet.setReachable(node, false)
    fleet.applyVersion()
    fleet.putInstance('engine-2', { isLeaving: true })
    await fleet.clock.advanceAndSettle(1_300)
    expect([2, 4, 6].map((node) => readServers(fleet)[node])).toEqual(Array(3).fill('engine-1@1'))
    expect([2, 4, 6].map((node) => readVersions(fleet)[node])).toEqual(Array(3).fill(4))
  })

  // An entry expires during an outage that only the readers see. The server would be dropped before it registers again.
  test('keeps a server whose entry expired in an outage', async () => {
    const fleet = await start({ nodesPerZone: 6 })
    for (let node = 0; node < 6; node++) fleet.setReachable(node, false)
    await fleet.clock.advanceAndSettle(4_000)
    fleet.removeInstance('engine-2')
    for (let node = 0; node < 6; node++) fleet.setReachable(node, true)
    const seen = new Set<string>()
    for (let step = 0; step < 10; step++) {
      await fleet.clock.advanceAndSettle(150)
      for (const servers of readServers(fleet)) seen.add(servers)
    }
    fleet.putInstance('engine-2')
    await fleet.clock.advanceAndSettle(3_000)
    for (const servers of readServers(fleet)) seen.add(servers)
    expect([...seen]).toEqual(['engine-1@1,engine-2@1'])
  })
})

describe('an outage in which entries expire', () => {
  const STEP_MS = 100
  /** Steps after the outage at which servers register again, one after the other, as they do when their heartbeats are due. */
  const RETURNS: Readonly<Record<number, string>> = { 5: 'engine-2', 9: 'engine-3', 13: 'engine-4' }
  const STEPS = 40

  const playOutage = async (outageMs: number, { zones = 1, restarted }: { readonly zones?: number, readonly restarted?: number } = {}): Promise<readonly string[]> => {
    const fleet = await start({ nodesPerZone: 6 / zones, zones })
    for (const id of Object.values(RETURNS)) fleet.putInstance(id)
    await fleet.clock.advanceAndSettle(500)
    for (let node = 0; node < 6; node++) fleet.setReachable(node, false)
    await fleet.clock.advanceAndSettle(outageMs / 2)
    if (restarted !== undefined) await fleet.restart(restarted)
    await fleet.clock.advanceAndSettle(outageMs / 2)
    for (const id of Object.values(RETURNS)) fleet.removeInstance(id)
    for (let node = 0; node < 6; node++) fleet.setReachable(node, true)
    const seen = new Set<string>()
    for (let step = 0; step < STEPS; step++) {
      const back = RETURNS[step]
      if (back !== undefined) fleet.putInstance(back)
      await fleet.clock.advanceAndSettle(STEP_MS)
      for (const servers of readServers(fleet)) seen.add(servers)
    }
    return [...seen]
  }

  // No relay tells of an entry that is back unchanged: nodes that had read the list once without it dropped servers that served.
  test.each(Array.from({ length: 40 }, (_, index) => [2_600 + index * 100]))('costs no node the servers that register again (%i ms)', async (outageMs) => {
    expect(await playOutage(outageMs)).toEqual(['engine-1@1,engine-2@1,engine-3@1,engine-4@1'])
  })

  test.each([2_600, 3_100, 3_600, 4_300])('costs no node of three zones the servers that register again (%i ms)', async (outageMs) => {
    expect(await playOutage(outageMs, { zones: 3 })).toEqual(['engine-1@1,engine-2@1,engine-3@1,engine-4@1'])
  })

  // A node that starts in an outage has its list from peers, and no answer of the source to count from.
  test.each([[3_000, 0], [3_000, 5], [6_000, 0], [6_000, 5]])('costs a node that started in it none of them (%i ms, node %i)', async (outageMs, restarted) => {
    expect(await playOutage(outageMs, { restarted })).toEqual(['engine-1@1,engine-2@1,engine-3@1,engine-4@1'])
  })
})

describe('a node that the source did not answer for a while', () => {
  // Only this node had lost the source: it kept a server that had left, though its peers knew better.
  test('takes the word of a peer that the source answered all the while', async () => {
    const fleet = await start({ nodesPerZone: 1, zones: 3 })
    fleet.setReachable(0, false)
    for (const other of [1, 2]) fleet.network.cut(fleet.addressOf(0), fleet.addressOf(other))
    await fleet.clock.advanceAndSettle(4_000)
    fleet.removeInstance('engine-2')
    fleet.setReachable(0, true)
    fleet.network.healAll()
    await fleet.clock.advanceAndSettle(1_500)
    expect(readServers(fleet)).toEqual(Array(3).fill('engine-1@1'))
  })
})

describe('watches of the source that go silent while new calls work', () => {
  /** Time after which the deployment requires nodes to act on changes again. */
  const RECONNECT_MS = 3_000

  const play = async (silenceAfterMs: number, act: (fleet: InProcessFleet) => void): Promise<InProcessFleet> => {
    const fleet = await start({ nodesPerZone: 4, settings: { reconnectMs: RECONNECT_MS } })
    await fleet.clock.advanceAndSettle(silenceAfterMs)
    for (let node = 0; node < fleet.nodes.length; node++) fleet.silenceWatches(node)
    await fleet.clock.advanceAndSettle(50)
    act(fleet)
    await fleet.clock.advanceAndSettle(RECONNECT_MS - 50)
    return fleet
  }

  const moments = Array.from({ length: 26 }, (_, index) => [index * 100])

  // A removed server got requests until the time-out of the watch, and for two seconds after it.
  test.each(moments)('hide no removed server for longer than the time to reconnect (after %i ms)', async (silenceAfterMs) => {
    const fleet = await play(silenceAfterMs, (played) => played.removeInstance('engine-2'))
    expect(new Set(readServers(fleet))).toEqual(new Set(['engine-1@1']))
  })

  // A drained zone got requests until the time-out of the watch.
  test.each(moments)('hide no drain of a zone for longer (after %i ms)', async (silenceAfterMs) => {
    const fleet = await play(silenceAfterMs, (played) => played.beginDrain('zone-0'))
    expect(fleet.nodes.map((node) => node.resolve('zoneDrains').isDrained('zone-0'))).toEqual(Array(4).fill(true))
  })
})

describe('a drain of a zone', () => {
  const listNodesWithoutDrain = (fleet: InProcessFleet): readonly number[] =>
    fleet.nodes.flatMap((node, index) => node.resolve('zoneDrains').isDrained('zone-0') ? [] : [index])

  test('is known everywhere within a quarter of a second', async () => {
    const fleet = await start({ nodesPerZone: 8, zones: 3 })
    fleet.beginDrain('zone-0')
    await fleet.clock.advanceAndSettle(250)
    expect(listNodesWithoutDrain(fleet)).toEqual([])
    fleet.endDrain('zone-0')
    await fleet.clock.advanceAndSettle(250)
    expect(listNodesWithoutDrain(fleet)).toHaveLength(24)
  })

  // The store rejects a third of the nodes, among them a zone's reader. These nodes would still send to the drained zone.
  test('reaches the nodes that the source rejects', async () => {
    const fleet = await start({ nodesPerZone: 8, zones: 3 })
    for (let node = 0; node < 8; node++) fleet.setReachable(node, false)
    await fleet.clock.advanceAndSettle(1_000)
    fleet.beginDrain('zone-0')
    await fleet.clock.advanceAndSettle(2_000)
    expect(listNodesWithoutDrain(fleet)).toEqual([])
  })

  // A node that restarts during a drain and learns the servers before the drains would send to the drained zone.
  test('is known to a node that starts during it before the node can serve', async () => {
    const fleet = await start({ nodesPerZone: 4, zones: 2 })
    fleet.beginDrain('zone-0')
    await fleet.clock.advanceAndSettle(1_000)
    await fleet.restart(3)
    for (let step = 0; step < 400; step++) {
      await fleet.clock.advanceAndSettle(5)
      if (fleet.nodes[3]!.canServe()) expect(listNodesWithoutDrain(fleet)).toEqual([])
    }
    expect(fleet.nodes[3]!.canServe()).toBe(true)
  })

  // While a zone is cut off, one drain ends and another begins. The zone would keep the first and miss the second.
  test('that replaced another one reaches a zone that was cut off meanwhile', async () => {
    const fleet = await start({ nodesPerZone: 4, zones: 3 })
    const isInCutZone = (index: number): boolean => index % 3 === 2
    for (let one = 0; one < 12; one++) {
      if (isInCutZone(one)) fleet.setReachable(one, false)
      for (let other = 0; other < 12; other++) if (isInCutZone(one) && !isInCutZone(other)) fleet.network.cut(fleet.addressOf(one), fleet.addressOf(other))
    }
    fleet.beginDrain('zone-1')
    await fleet.clock.advanceAndSettle(3_000)
    fleet.endDrain('zone-1')
    fleet.beginDrain('zone-0')
    await fleet.clock.advanceAndSettle(3_000)
    fleet.network.healAll()
    for (let node = 0; node < 12; node++) fleet.setReachable(node, true)
    await fleet.clock.advanceAndSettle(3_000)
    expect(listNodesWithoutDrain(fleet)).toEqual([])
    expect(fleet.nodes.map((node) => node.resolve('zoneDrains').isDrained('zone-1'))).toEqual(Array(12).fill(false))
  })
})

describe('a burst of versions with many routes', () => {
  const BURST_VERSIONS = 15
  const VERSION_GAP_MS = 333
  /** The bytes that a node receives for a version depend on its changes, not on the number of routes. */
  const MAXIMUM_BYTES_PER_VERSION = 2_048

  const sumReplyBytes = (fleet: InProcessFleet): number =>
    fleet.transports.reduce((sum, transport) => sum + (transport.bytesSent().get('knowledgeRequestReply') ?? 0), 0)

  // If each version were sent in full to every node, the reader's link would be saturated for seconds
  // and nodes would serve with outdated versions.
  test('takes effect on all nodes within a second and in few bytes, although a third of them restart', async () => {
    const fleet = await start({ nodesPerZone: 8, zones: 3, routes: 1_200 })
    const before = sumReplyBytes(fleet)
    for (let version = 0; version < BURST_VERSIONS; version++) {
      fleet.applyVersion()
      if (version === 5) for (let index = 1; index < fleet.nodes.length; index += 3) await fleet.restart(index)
      await fleet.clock.advanceAndSettle(VERSION_GAP_MS)
    }
    await fleet.clock.advanceAndSettle(1_000 - VERSION_GAP_MS)
    expect(new Set(readVersions(fleet))).toEqual(new Set([fleet.getNewestVersion(fleet.clock.now())]))
    expect((sumReplyBytes(fleet) - before) / fleet.nodes.length / BURST_VERSIONS).toBeLessThan(MAXIMUM_BYTES_PER_VERSION)
  })
})

const hasConfirmationEnded = async (fleet: InProcessFleet): Promise<boolean> => {
  let isOver = false
  fleet.nodes[0]!.resolve('gatewayConfiguration').confirm(400).then(() => { isOver = true })
  await fleet.clock.advanceAndSettle(1)
  return isOver
}

// A caller whose key can't be confirmed would wait for a refusal that could be sent at once.
describe('a request whose key needs confirmation', () => {
  test('does not wait for a source that is known to be unreachable', async () => {
    const fleet = await start({ nodesPerZone: 2 })
    for (const node of [0, 1]) fleet.setReachable(node, false)
    await fleet.clock.advanceAndSettle(5_000)
    expect(await hasConfirmationEnded(fleet)).toBe(true)
  })

  test('waits for a source that was reachable at the last read', async () => {
    const fleet = await start({ nodesPerZone: 2 })
    expect(await hasConfirmationEnded(fleet)).toBe(false)
  })
})

type Disturbance = (fleet: InProcessFleet, pick: (count: number) => number) => void

const DISTURBANCES: readonly Disturbance[] = [
  (fleet) => fleet.applyVersion(),
  (fleet, pick) => fleet.putInstance(`engine-${pick(5)}`, { incarnation: pick(4) + 1, isLeaving: pick(3) === 0 }),
  (fleet, pick) => fleet.removeInstance(`engine-${pick(5)}`),
  (fleet, pick) => fleet.setReachable(pick(fleet.nodes.length), false),
  (fleet, pick) => fleet.setReachable(pick(fleet.nodes.length), true),
  (fleet, pick) => {
    const [one, other] = [pick(fleet.nodes.length), pick(fleet.nodes.length)]
    if (one !== other) fleet.network.cut(fleet.addressOf(one), fleet.addressOf(other))
  },
  (fleet) => fleet.network.healAll()
]

/**
 * Guards against replies that arrive in an unexpected order. A node could consider
 * its confirmation more recent than it is and go on accepting a revoked key, or
 * return to an older version and serve a route that was removed.
 */
describe.each([1, 2, 3, 4, 5, 6, 7, 8])('in the interleaving of seed %i', (seed) => {
  test('no node understates the age of its confirmation or returns to an older version, and all agree in the end', async () => {
    const random = createSeededRandom(seed).next
    const fleet = await start({ nodesPerZone: 4, zones: 2 }, seed)
    const pick = (count: number): number => Math.floor(random() * count)
    const highest = fleet.nodes.map(() => 0)
    for (let step = 0; step < 60; step++) {
      DISTURBANCES[pick(DISTURBANCES.length)]!(fleet, pick)
      await fleet.clock.advanceAndSettle(50 + pick(600))
      fleet.nodes.forEach((node, index) => {
        const holder = node.resolve('gatewayConfiguration')
        expect(holder.version()).toBeGreaterThanOrEqual(highest[index]!)
        expect(fleet.getNewestVersion(fleet.clock.now() - holder.confirmedAgeMs())).toBeLessThanOrEqual(holder.version())
        highest[index] = holder.version()
      })
    }
    fleet.network.healAll()
    for (let node = 0; node < fleet.nodes.length; node++) fleet.setReachable(node, true)
    fleet.putInstance('engine-9')
    await fleet.clock.advanceAndSettle(8_000)
    expect(new Set(readVersions(fleet))).toEqual(new Set([fleet.getNewestVersion(fleet.clock.now())]))
    expect(new Set(readServers(fleet)).size).toBe(1)
  })
})

// The other nodes would each have to send a request to it to learn that it is leaving.
test('a server that a reader knows from an answer to be leaving is soon known so to the nodes that rely on it', async () => {
  const fleet = await start({ nodesPerZone: 5 })
  const reader = fleet.nodes.find((node) => node.resolve('knowledgeExchange').isReader())!
  reader.resolve('instanceRegistry').markLeaving(reader.resolve('instanceRegistry').find('engine-1')!)
  await fleet.clock.advanceAndSettle(1_500)
  const relying = fleet.nodes.filter((node) => !node.resolve('knowledgeExchange').isReader())
  expect(relying.map((node) => node.resolve('instanceRegistry').list('engines').map(({ id }) => id))).toEqual([['engine-2'], ['engine-2'], ['engine-2']])
})
