import { describe, expect, test } from 'vitest'
import { createQuarantineFleet, SERVICE, type QuarantineFleet } from '../../../test/_lib/createQuarantineFleet.js'

const PART = 'bad'
const NODES = 6
/** Longer than the holders take to ask, and the others to be told. */
const SETTLED_MS = 600
/** Less than the first trial takes to be due. */
const SHORT_MS = 300

/** Complete answers of each node between two ends: few requests break. */
const ANSWERS = 20

/** Reports ends of servers under the part, each at another node, one after the other, while requests with other parts are answered. */
const reportEnds = async ({ clock, nodes }: QuarantineFleet, count: number, parts: readonly string[] = [PART], firstServer = 0): Promise<void> => {
  for (let index = 0; index < count; index++) {
    for (const { api } of nodes) for (let answer = 0; answer < ANSWERS; answer++) api.recordComplete(SERVICE, ['other'])
    nodes[(firstServer + index) % nodes.length]!.reportEnd(`engine-${firstServer + index}`, parts)
    await clock.advanceAndSettle(SETTLED_MS)
  }
}

const listVerdicts = ({ nodes }: QuarantineFleet, part: string = PART): readonly string[] => nodes.map(({ api }) => api.inspect(SERVICE, [part]).kind)

const all = (kind: string, count = NODES): readonly string[] => Array.from({ length: count }, () => kind)

describe('a part under which servers end', () => {
  // Each node has seen one server end, which shows nothing by itself.
  test('is quarantined on all nodes when two nodes saw one server end each', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 1)
    expect(listVerdicts(fleet)).toEqual(all('open'))
    await reportEnds(fleet, 1, [PART], 1)
    expect(listVerdicts(fleet)).toEqual(all('trialDue'))
    for (const { lines } of fleet.nodes) expect(lines).toContainEqual(expect.objectContaining({ message: 'prompt part quarantined', part: PART, endedServers: 'engine-0@1 engine-1@1' }))
  })

  test('is the only one that is quarantined', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 2, [PART, 'common'])
    expect(listVerdicts(fleet, 'common')).toEqual(all('trialDue'))
    fleet.nodes[3]!.api.recordSound(SERVICE, ['common'])
    await fleet.clock.advanceAndSettle(SHORT_MS)
    expect(listVerdicts(fleet, 'common')).toEqual(all('open'))
    expect(listVerdicts(fleet)).toEqual(all('trialDue'))
  })

  // Most requests have the part that all share, and run at each server that ends.
  test('is sound when an answer with it was in order after the first end, on any node', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 1)
    fleet.nodes[4]!.api.recordSound(SERVICE, [PART])
    await fleet.clock.advanceAndSettle(SETTLED_MS)
    await reportEnds(fleet, 1, [PART], 1)
    expect(listVerdicts(fleet)).toEqual(all('open'))
  })

  // A loss of power ends all servers of a zone; whatever ran there ran at several of them.
  test('is not quarantined when servers end together', async () => {
    const fleet = createQuarantineFleet(NODES)
    for (let index = 0; index < 4; index++) fleet.nodes[index]!.reportEnd(`engine-${index}`, [PART])
    await fleet.clock.advanceAndSettle(SETTLED_MS)
    expect(listVerdicts(fleet)).toEqual(all('open'))
  })

  test('counts a server once, however many nodes had requests there', async () => {
    const fleet = createQuarantineFleet(NODES)
    for (let index = 0; index < 4; index++) {
      fleet.nodes[index]!.reportEnd('engine-0', [PART])
      await fleet.clock.advanceAndSettle(SETTLED_MS)
    }
    expect(listVerdicts(fleet)).toEqual(all('open'))
  })
})

describe('the exchange', () => {
  test('sends nothing while no server ends', async () => {
    const fleet = createQuarantineFleet(NODES)
    for (let round = 0; round < 10; round++) {
      for (const { api } of fleet.nodes) api.recordComplete(SERVICE, [PART])
      await fleet.clock.advanceAndSettle(SETTLED_MS)
    }
    expect(fleet.countTraffic()).toEqual({ bytes: 0, messages: 0 })
  })

  // Each node that had requests at the server tells three holders, however many nodes there are.
  test('of one end goes to the holders only', async () => {
    const fleet = createQuarantineFleet(30)
    for (const node of fleet.nodes.slice(0, 10)) node.reportEnd('engine-0', [PART, 'common'])
    await fleet.clock.advanceAndSettle(SETTLED_MS)
    expect(fleet.countTraffic().messages).toBeLessThanOrEqual(3 * 10)
  })
})

describe('a quarantine', () => {
  test('lasts beyond the processes of all nodes', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 2)
    for (let index = 0; index < NODES; index++) fleet.restart(index)
    await fleet.clock.advanceAndSettle(SHORT_MS)
    expect(listVerdicts(fleet)).toEqual(all('trialDue'))
  })

  test('reaches a node that is cut off from all peers when it sees a server end', async () => {
    const fleet = createQuarantineFleet(NODES)
    for (let peer = 0; peer < NODES - 1; peer++) fleet.cut(NODES - 1, peer)
    await reportEnds(fleet, 2)
    expect(listVerdicts(fleet)).toEqual([...all('trialDue', NODES - 1), 'open'])
    fleet.nodes[NODES - 1]!.reportEnd('engine-9', [PART])
    await fleet.clock.advanceAndSettle(SHORT_MS)
    expect(listVerdicts(fleet)).toEqual(all('trialDue'))
  })

  test('reaches a node that saw a server end before, while it is cut off from all peers', async () => {
    const fleet = createQuarantineFleet(NODES)
    for (let peer = 0; peer < NODES - 1; peer++) fleet.cut(NODES - 1, peer)
    fleet.nodes[NODES - 1]!.reportEnd('engine-9', [PART])
    await reportEnds(fleet, 2)
    expect(listVerdicts(fleet)).toEqual(all('trialDue'))
  })

  // The load of the store must not grow with the fleet.
  test('costs the store one call for each start while no server ends', async () => {
    const fleet = createQuarantineFleet(NODES)
    await fleet.clock.advanceAndSettle(120_000)
    expect(fleet.countStoreCalls()).toBe(NODES)
  })

  test('reaches all nodes, and one that starts, while the store is out of reach', async () => {
    const fleet = createQuarantineFleet(NODES)
    fleet.setStoreReachable(false)
    await reportEnds(fleet, 2)
    fleet.restart(5)
    await fleet.clock.advanceAndSettle(SHORT_MS)
    // Without the store there is no trial.
    expect(listVerdicts(fleet)).toEqual(all('refused'))
  })

  test('is stored once the store is back', async () => {
    const fleet = createQuarantineFleet(NODES)
    fleet.setStoreReachable(false)
    await reportEnds(fleet, 2)
    fleet.setStoreReachable(true)
    await fleet.clock.advanceAndSettle(3_000)
    expect(fleet.stored().map(({ part }) => part)).toEqual([{ service: SERVICE, part: PART, servers: ['engine-0@1', 'engine-1@1'], endsAtFirst: 2, trials: 0 }])
  })

  // A removal that failed leaves an object, which no watch tells of again.
  test('of a part whose object was left from an earlier one has a trial', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 2)
    fleet.setRemovalsRefused(true)
    fleet.nodes[2]!.api.recordSound(SERVICE, [PART])
    await fleet.clock.advanceAndSettle(SETTLED_MS)
    expect(listVerdicts(fleet)).toEqual(all('open'))
    await reportEnds(fleet, 2, [PART], 2)
    // With the ends of the earlier quarantine the trial comes later.
    await fleet.clock.advanceAndSettle(25_000)
    expect(listVerdicts(fleet)).toEqual(all('trialDue'))
  })

  test('ends on all nodes when the object is removed', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 2)
    fleet.removeStored(fleet.stored()[0]!.name)
    await fleet.clock.advanceAndSettle(SHORT_MS)
    expect(listVerdicts(fleet)).toEqual(all('open'))
  })

  test('ends on all nodes with the first sound answer', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 2)
    fleet.nodes[2]!.api.recordSound(SERVICE, [PART])
    await fleet.clock.advanceAndSettle(SHORT_MS)
    expect(listVerdicts(fleet)).toEqual(all('open'))
    expect(fleet.stored()).toEqual([])
  })
})

describe('a trial', () => {
  // One request of the whole fleet, not one of each node.
  test('is won by one node', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 2)
    expect(listVerdicts(fleet)).toEqual(all('trialDue'))
    const claims = fleet.nodes.map(({ api }) => api.claimTrial(SERVICE, [PART]))
    await fleet.clock.advanceAndSettle(SHORT_MS)
    expect((await Promise.all(claims)).filter(Boolean)).toEqual([true])
    expect(listVerdicts(fleet)).toEqual(all('refused'))
  })

  test('is not possible without the store', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 2)
    await fleet.clock.advanceAndSettle(1_000)
    fleet.setStoreReachable(false)
    const claims = fleet.nodes.map(({ api }) => api.claimTrial(SERVICE, [PART]))
    await fleet.clock.advanceAndSettle(SHORT_MS)
    expect((await Promise.all(claims)).filter(Boolean)).toEqual([])
  })

  test('comes later after each end', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 2)
    await reportEnds(fleet, 1, [PART], 2)
    expect(listVerdicts(fleet)).toEqual(all('refused'))
    await fleet.clock.advanceAndSettle(3_000)
    expect(listVerdicts(fleet)).toEqual(all('trialDue'))
    await reportEnds(fleet, 1, [PART], 3)
    await fleet.clock.advanceAndSettle(3_000)
    expect(listVerdicts(fleet)).toEqual(all('refused'))
  })

  // Such a request would end the server whichever of its parts is to blame.
  test('of several parts at once waits for one of a single part', async () => {
    const fleet = createQuarantineFleet(NODES)
    await reportEnds(fleet, 2, [PART, 'common'])
    await fleet.clock.advanceAndSettle(1_000)
    const [{ api }] = [fleet.nodes[0]!]
    expect([api.inspect(SERVICE, ['common', PART]).kind, api.inspect(SERVICE, ['common', 'other']).kind]).toEqual(['refused', 'trialDue'])
  })
})
