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

const start = async (): Promise<StoreFleet> => {
  const fleet = await startStoreFleet(['plain-1', 'plain-2', 'plain-3'])
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

describe('open connections to the store that go silent while new ones work', () => {
  // The silence was taken for an outage, and a server without an entry got orders until it exited.
  test.each(['', 'GET /objects/servers?watch'])('don\'t keep a server whose entry is removed (connections of "%s")', async (request) => {
    const fleet = await start()
    expect(fleet.proxy.silenceOpen(request)).toBeGreaterThan(0)
    fleet.platform.store.remove('servers', 'plain-1')
    await waitForRemoval(fleet, 'plain-1')
    for (const name of NODES) {
      expect(['entry removed', 'removed at a peer']).toContain(listRemovals(fleet, name, 'plain-1')[0])
      expect([listLines(fleet, name, 'source outage ended'), listLines(fleet, name, 'backend server kept')]).toEqual([[], []])
    }
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
