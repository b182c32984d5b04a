/** Tests a gateway's view of configuration, keys, backend servers and prompt caches, also while the store is unreachable. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { createRoute } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayFleet, type FleetOptions, type GatewayFleet } from './_lib/startGatewayFleet.js'
import { createBackendStandIn } from '../../platform/standIn/createBackendStandIn/index.js'
import { waitFor } from '../_lib/waitFor.js'

const fleets: GatewayFleet[] = []

const start = async (options: FleetOptions = {}): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet(options)
  fleets.push(fleet)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

const readStatus = async (fleet: GatewayFleet, path: string, node = 0, key?: string): Promise<number> =>
  (await callGateway(fleet.callerAddress(node), { path, ...(key === undefined ? {} : { key }) })).status

describe('a new configuration', () => {
  test('takes effect without a restart', async () => {
    const fleet = await start()
    fleet.applyConfiguration(7, { routes: [createRoute('fresh')] })
    await waitFor('the new route', async () => await readStatus(fleet, '/fresh/1') === 200)
    expect(await readStatus(fleet, '/lookup/1')).toBe(404)
  })

  // A store that returns an older version, as after a restore, would bring back routes that were replaced.
  test('is never replaced by an older version', async () => {
    const fleet = await start()
    fleet.applyConfiguration(7, { routes: [createRoute('fresh')] })
    await waitFor('the new route', async () => await readStatus(fleet, '/fresh/1') === 200)
    fleet.applyConfiguration(3, { routes: [createRoute('stale')] })
    await new Promise((resolve) => { setTimeout(resolve, 1_200) })
    expect(await readStatus(fleet, '/fresh/1')).toBe(200)
  })

  // A node that loses the store would serve with an old version while its peers have the new one.
  test('reaches a node that is cut off from the store through its peers', async () => {
    const fleet = await start({ nodes: 2 })
    await waitFor('the nodes to discover each other', async () => fleet.logs.some(({ message }) => message === 'member changed'))
    fleet.cutFromStore(1)
    fleet.applyConfiguration(7, { routes: [createRoute('fresh')] })
    await waitFor('the new route on the node that is cut off', async () => await readStatus(fleet, '/fresh/1', 1) === 200)
  })
})

describe('a key', () => {
  test('that was revoked is refused', async () => {
    const fleet = await start()
    expect(await readStatus(fleet, '/lookup/1', 0, 'second-key')).toBe(200)
    fleet.applyConfiguration(7, { tenants: [{ name: 'pekarna', api_keys: ['key-of-pekarna'], priority: 1 }] })
    await waitFor('the key to be refused', async () => await readStatus(fleet, '/lookup/1', 0, 'second-key') === 401)
    expect(await readStatus(fleet, '/lookup/1')).toBe(200)
  })

  // A node that reaches neither the store nor a peer would go on accepting a key that was revoked.
  test('is not accepted once its validity can no longer be confirmed', async () => {
    const fleet = await start({ settings: { keyRevocationMs: 1_500 } })
    fleet.store.setFault('silent')
    await waitFor('requests with a key to be refused', async () => await readStatus(fleet, '/order/1') === 503)
    expect((await callGateway(fleet.callerAddress(), { path: '/open/1', key: undefined })).status).toBe(200)
    fleet.store.setFault('none')
    await waitFor('requests with a key to be served', async () => await readStatus(fleet, '/order/1') === 200)
  })

  test('stays accepted on a node that is cut off from the store while a peer confirms it', async () => {
    const fleet = await start({ nodes: 2, settings: { keyRevocationMs: 1_500 } })
    await waitFor('the nodes to discover each other', async () => fleet.logs.some(({ message }) => message === 'member changed'))
    fleet.cutFromStore(1)
    await new Promise((resolve) => { setTimeout(resolve, 2_500) })
    expect(await readStatus(fleet, '/lookup/1', 1)).toBe(200)
  })
})

/** Longer than the shortest outage in which an entry can expire. */
const OUTAGE_MS = 2_600

describe('the list of backend servers', () => {
  test('includes a server that registers later', async () => {
    const fleet = await start({ plain: [] })
    expect(await readStatus(fleet, '/lookup/1')).toBe(503)
    const late = await createBackendStandIn({ id: 'plain-late' })
    fleet.register(late, 'plain')
    await waitFor('the late server to serve', async () => await readStatus(fleet, '/lookup/1') === 200)
    await late.close()
  })

  test('excludes a server that is leaving', async () => {
    const fleet = await start()
    fleet.register(fleet.backends.get('plain-1')!, 'plain', { state: 'draining' })
    await waitFor('the leaving mark', async () => fleet.logs.some(({ message, backendServer }) => message === 'backend server leaving' && backendServer === 'plain-1'))
    const before = fleet.backends.get('plain-1')!.records().length
    for (let index = 0; index < 6; index++) expect(await readStatus(fleet, '/lookup/1')).toBe(200)
    expect(fleet.backends.get('plain-1')!.records()).toHaveLength(before)
  })

  // An outdated entry without the leaving mark would send requests to a server that is about to shut down.
  test('includes a leaving server again only after its restart', async () => {
    const fleet = await start()
    const backend = fleet.backends.get('plain-1')!
    const count = (): number => backend.records().length
    fleet.register(backend, 'plain', { state: 'draining' })
    await waitFor('the leaving mark', async () => fleet.logs.some(({ message }) => message === 'backend server leaving'))
    fleet.register(backend, 'plain')
    const before = count()
    for (let index = 0; index < 6; index++) await readStatus(fleet, '/lookup/1')
    expect(count()).toBe(before)
    fleet.register(backend, 'plain', { born: 2 })
    await waitFor('the restarted server to get requests', async () => {
      await readStatus(fleet, '/lookup/1')
      return count() > before
    })
  })

  test.each([
    ['without a service', { service: undefined }],
    ['with an unknown state', { state: 'sleeping' }],
    ['with a slot count that is text', { slots: '8' }],
    ['with an invalid address', { address: 'nowhere' }],
    // Each node ended at its first request for such an entry.
    ['with a port that does not exist', { address: '127.0.0.1:82233' }],
    ['with a host that does not exist', { address: '127.0.0.300:8080' }]
  ])('skips an entry %s and keeps the others', async (_name, changes) => {
    const fleet = await start()
    const foreign = await createBackendStandIn({ id: 'plain-foreign' })
    fleet.register(foreign, 'plain', changes)
    fleet.store.put('servers', 'not-even-an-object', 'text')
    await waitFor('both malformed entries to be noticed', async () => ['plain-foreign', 'not-even-an-object'].every((name) => fleet.logs.some(({ message, backendServer }) => message === 'backend server entry is malformed' && backendServer === name)))
    for (let index = 0; index < 4; index++) expect(await readStatus(fleet, '/lookup/1')).toBe(200)
    expect(foreign.records()).toHaveLength(0)
    await foreign.close()
  })

  // Entries expire while the store is down. A node would drop servers that are healthy but have not registered again yet.
  test('is kept through an outage of the store and for a grace period after it', async () => {
    const fleet = await start()
    fleet.store.setFault('reset')
    await new Promise((resolve) => { setTimeout(resolve, OUTAGE_MS) })
    expect(await readStatus(fleet, '/open/1')).toBe(200)
    for (const id of fleet.backends.keys()) fleet.store.remove('servers', id)
    fleet.store.setFault('none')
    await waitFor('the store to be reached again', async () => fleet.logs.some(({ message }) => message === 'backend server list reached'))
    expect(await readStatus(fleet, '/open/1')).toBe(200)
    fleet.register(fleet.backends.get('plain-1')!, 'plain')
    await waitFor('the missing entry to be removed', async () => fleet.logs.some(({ message, reason, backendServer }) => message === 'backend server removed' && backendServer === 'plain-2' && String(reason).includes('outage')))
    expect(await readStatus(fleet, '/open/1')).toBe(200)
  })

  // A watch that misses a removal which the store then drops from its history would keep the removed server.
  test('is read in full again when the store has lost its history', async () => {
    const fleet = await start()
    fleet.store.setWatchMuted(true)
    fleet.store.remove('servers', 'plain-1')
    fleet.store.forgetHistory()
    fleet.store.setWatchMuted(false)
    await waitFor('the removal to be noticed', async () => fleet.logs.some(({ message, backendServer }) => message === 'backend server removed' && backendServer === 'plain-1'))
  })
})

describe('the cached prefix location', () => {
  const sendChat = async (fleet: GatewayFleet, node: number, shared: string): Promise<void> => {
    const result = await callGateway(fleet.callerAddress(node), { path: '/chat/1', body: 'x', headers: promptHeaders(shared, `own-${shared}`) })
    expect(result.isComplete).toBe(true)
  }

  const findCachingServers = (fleet: GatewayFleet, shared: string): readonly string[] =>
    [...fleet.backends.values()].filter((backend) => backend.records().some(({ headers }) => headers['x-prompt-prefix']?.startsWith(shared))).map(({ id }) => id)

  test('is reported to a peer, which sends the next turn of the chat there', async () => {
    const fleet = await start({ nodes: 2 })
    await waitFor('the nodes to discover each other', async () => fleet.logs.some(({ message }) => message === 'member changed'))
    await sendChat(fleet, 0, 'aa')
    await new Promise((resolve) => { setTimeout(resolve, 600) })
    await sendChat(fleet, 1, 'aa')
    expect(findCachingServers(fleet, 'aa')).toHaveLength(1)
  })

  // After a restart of all nodes none knows which engine caches a prefix. Prompts that are not cached
  // at their highest-ranked engine would be computed again.
  test('is read from the engines after a restart of all nodes', async () => {
    const fleet = await start({ settings: { isFirstStart: false } })
    const cachingBefore = findCachingServers(fleet, 'zz')
    expect(cachingBefore).toHaveLength(0)
    await sendChat(fleet, 0, 'zz')
    const [cachingServer] = findCachingServers(fleet, 'zz')
    await fleet.restart(0)
    await waitFor('the cache contents to be read from the engine', async () => fleet.backends.get(cachingServer!)!.countCacheReads() > 0)
    await sendChat(fleet, 0, 'zz')
    expect(findCachingServers(fleet, 'zz')).toEqual([cachingServer])
  })
})
