/** Tests what real daemons conclude when connections to the store go silent, and when the store is away. */
import { afterEach, describe, expect, test } from 'vitest'
import { startStoreFleet, type StoreFleet } from './_lib/startStoreFleet.js'
import { waitFor } from '../_lib/waitFor.js'

const NODES = ['node-1', 'node-2']
/** Two of the servers' heartbeats: entries can expire in a longer outage. */
const MINIMUM_OUTAGE_MS = 2_400

const closing: (() => Promise<void>)[] = []

afterEach(async () => { for (const close of closing.splice(0).reverse()) await close() })

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

const start = async (fields: Readonly<Record<string, string>> = {}): Promise<StoreFleet> => {
  const fleet = await startStoreFleet(['plain-1', 'plain-2', 'plain-3'], { fields })
  closing.push(fleet.close)
  for (const name of NODES) await fleet.start(name)
  await waitFor('both nodes to know each other', () => NODES.every((name) => listLines(fleet, name, 'member changed').length > 0))
  return fleet
}

const listLines = (fleet: StoreFleet, node: string, message: string): readonly Readonly<Record<string, unknown>>[] =>
  fleet.find(node)!.process.lines.filter((line) => line['message'] === message)

const listRemovals = (fleet: StoreFleet, node: string, server: string): readonly unknown[] =>
  listLines(fleet, node, 'backend server removed').filter((line) => line['backendServer'] === server).map((line) => line['reason'])

const waitForRemoval = (fleet: StoreFleet, server: string): Promise<unknown> =>
  waitFor(`${server} to be removed`, () => NODES.every((name) => listRemovals(fleet, name, server).length > 0))

/** Removes the entry of a server, and checks that the nodes remove the server at once. */
const expectRemovedAtOnce = async (fleet: StoreFleet): Promise<void> => {
  fleet.platform.store.remove('servers', 'plain-1')
  await waitForRemoval(fleet, 'plain-1')
  for (const name of NODES) {
    expect(['entry removed', 'removed at a peer']).toContain(listRemovals(fleet, name, 'plain-1')[0])
    expect([listLines(fleet, name, 'source outage ended'), listLines(fleet, name, 'backend server kept')]).toEqual([[], []])
  }
}

/** Heartbeats of servers of which two take less, and more, time than a node needs to find its connections silent. */
const HEARTBEATS = ['300', '500', '600', '1200']

describe('open connections to the store that go silent while new ones work', () => {
  // The silence was taken for an outage, and a server without an entry got orders until it exited.
  test.each(['', 'GET /objects/servers?watch'])('don\'t keep a server whose entry is removed (connections of "%s")', async (request) => {
    const fleet = await start()
    expect(fleet.proxy.silenceOpen(request)).toBeGreaterThan(0)
    await expectRemovedAtOnce(fleet)
  })

  // The time without an answer was taken for an outage where servers check in more often.
  test.each(HEARTBEATS)('are no outage, however often servers check in (every %s ms)', async (heartbeat) => {
    const fleet = await start({ heartbeat_ms: heartbeat })
    expect(fleet.proxy.silenceOpen()).toBeGreaterThan(0)
    await expectRemovedAtOnce(fleet)
  })

  // Silences in series added up to the time of an outage.
  test('are no outage when they go silent again and again', async () => {
    const fleet = await start({ heartbeat_ms: '500' })
    for (let silence = 0; silence < 5; silence++) {
      fleet.proxy.silenceOpen()
      await pause(700)
    }
    await expectRemovedAtOnce(fleet)
  })
})

describe('a time without answers in which the store was not away', () => {
  // The pauses between two reads of the configuration were taken for outages.
  test('is no outage if nothing was asked', async () => {
    const fleet = await start({ heartbeat_ms: '300' })
    const callsBefore = fleet.platform.store.countCalls()
    await waitFor('reads of the store', () => fleet.platform.store.countCalls() > callsBefore + 12)
    await expectRemovedAtOnce(fleet)
  })

  // A node that was paused kept a server that left during the pause.
  test('is no outage if the process was paused', async () => {
    const fleet = await start()
    for (const name of NODES) fleet.find(name)!.process.signal('SIGSTOP')
    await pause(MINIMUM_OUTAGE_MS + 200)
    fleet.platform.store.remove('servers', 'plain-1')
    for (const name of NODES) fleet.find(name)!.process.signal('SIGCONT')
    await expectRemovedAtOnce(fleet)
  })

  // Gateways on a machine that runs other work for most of the time kept a server that had left, and sent it orders until it exited.
  test('is no outage if connections go silent beside pauses of the process', async () => {
    const fleet = await start()
    const signalAll = (signal: NodeJS.Signals): void => { for (const name of NODES) fleet.find(name)!.process.signal(signal) }
    const state = { isOver: false }
    const pauses = (async () => {
      while (!state.isOver) {
        signalAll('SIGSTOP')
        await pause(1_050)
        signalAll('SIGCONT')
        await pause(450)
      }
    })()
    await pause(3_000)
    fleet.proxy.silenceOpen()
    await expectRemovedAtOnce(fleet).finally(() => { state.isOver = true })
    await pauses
  })
})

describe('an outage of the store', () => {
  const playOutage = async (fault: 'reset' | 'silent', outageMs: number): Promise<StoreFleet> => {
    const fleet = await start()
    fleet.platform.store.setFault(fault)
    await pause(outageMs)
    for (const id of ['plain-1', 'plain-2']) fleet.platform.store.remove('servers', id)
    fleet.platform.store.setFault('none')
    return fleet
  }

  // Servers are alive whose entries expired while the store was away: a node without them has no servers for two seconds.
  test.each(['reset', 'silent'] as const)('in which entries can expire keeps their servers until they register again (%s)', async (fault) => {
    const fleet = await playOutage(fault, MINIMUM_OUTAGE_MS + 200)
    await waitFor('a reader to keep a server', () => NODES.some((name) => listLines(fleet, name, 'backend server kept').length > 0))
    fleet.platform.register(fleet.platform.backends.get('plain-1')!, 'plain')
    await waitForRemoval(fleet, 'plain-2')
    expect(NODES.map((name) => listRemovals(fleet, name, 'plain-1'))).toEqual([[], []])
  })

  test('too short for entries to expire removes what is missing after it', async () => {
    const fleet = await playOutage('reset', 300)
    await waitForRemoval(fleet, 'plain-2')
    expect(NODES.flatMap((name) => listLines(fleet, name, 'backend server kept'))).toEqual([])
  })
})
