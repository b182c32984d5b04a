/** Tests drained zones, servers that warm up and requests restricted to regions, over the platform's stand-ins. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders, type CallResult } from '../../platform/standIn/callGateway/index.js'
import { ENGINES, KEY, createRoute } from '../../platform/standIn/createPlatform/index.js'
import { formatEvent } from '../../platform/standIn/createBackendStandIn/index.js'
import { startGatewayFleet, type FleetOptions, type GatewayFleet } from './_lib/startGatewayFleet.js'

const fleets: GatewayFleet[] = []

/** Starts two plain servers and two engines, one of each per zone; each zone is a separate region. */
const start = async (options: FleetOptions = {}): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet({
    entries: { 'plain-2': { zone: 'zone-b' }, 'engine-2': { zone: 'zone-b' } },
    ...options,
    settings: { regionByZone: new Map([['zone-a', 'north'], ['zone-b', 'south']]), warmUpLimit: { excess: 1.5, slack: 5 }, ...options.settings }
  })
  fleets.push(fleet)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

const waitUntil = async (isDone: () => boolean): Promise<void> => {
  while (!isDone()) await pause(5)
}

const countLines = (fleet: GatewayFleet, message: string, zone: string): number =>
  fleet.logs.filter((line) => line.message === message && line['zone'] === zone).length

const beginDrain = async (fleet: GatewayFleet, zone: string, spec: unknown = {}, message = 'zone drain begun'): Promise<void> => {
  fleet.store.put('evacuations', zone, spec)
  await waitUntil(() => countLines(fleet, message, zone) === fleet.gateways.length)
}

/** Registers engines as cold, by default as restarted ones. Entries arrive in order, so all are known once the last one is. */
const makeCold = async (fleet: GatewayFleet, ids: readonly string[], changes: Readonly<Record<string, unknown>> = { born: 2 }): Promise<void> => {
  for (const id of ids) fleet.register(fleet.backends.get(id)!, ENGINES, { zone: 'zone-b', cold_left_ms: 3_000, ...changes })
  fleet.store.put('servers', 'last', { service: 'none', address: '127.0.0.1:1', zone: 'zone-a', slots: 1, state: 'ready', born: 1 })
  await waitUntil(() => fleet.logs.some((line) => line.message === 'backend server added' && line['backendServer'] === 'last'))
}

const callMany = (fleet: GatewayFleet, path: string, count = 12): Promise<readonly CallResult[]> =>
  Promise.all(Array.from({ length: count }, (_, index) => callGateway(fleet.callerAddress(index % fleet.gateways.length), { path, requestId: `${path}-${index}`, ...(path.startsWith('/chat') ? { body: 'hello', headers: promptHeaders(`s${index}`) } : {}) })))

const countRuns = (fleet: GatewayFleet, id: string): number => fleet.backends.get(id)!.records().filter(({ isRun }) => isRun).length

const listStatuses = (results: readonly CallResult[]): readonly number[] => [...new Set(results.map(({ status }) => status))]

describe('a drained zone', () => {
  // Requests would still reach servers that an operator is about to shut down.
  test.each(['/lookup/1', '/order/1', '/chat/1'])('gets no request for %s, and the other zone serves all', async (path) => {
    const fleet = await start({ nodes: 2 })
    await beginDrain(fleet, 'zone-b')
    expect(listStatuses(await callMany(fleet, path))).toEqual([200])
    expect([countRuns(fleet, 'plain-2'), countRuns(fleet, 'engine-2')]).toEqual([0, 0])
  })

  // A lookup that fails in the other zone would be retried in the drained one.
  test('gets no retry', async () => {
    const fleet = await start()
    await beginDrain(fleet, 'zone-b')
    fleet.backends.get('plain-1')!.setFault('error')
    await callMany(fleet, '/lookup/1', 4)
    expect(countRuns(fleet, 'plain-2')).toBe(0)
  })

  // A stream that breaks in the other zone would be resumed in the drained one.
  test('gets no resumed stream from another zone', async () => {
    const fleet = await start()
    await beginDrain(fleet, 'zone-b')
    fleet.backends.get('engine-1')!.setFault('cut')
    await callMany(fleet, '/chat/1', 4)
    expect(countRuns(fleet, 'engine-2')).toBe(0)
  })

  test('completes the streams that run in it', async () => {
    const fleet = await start({ engines: [{ id: 'engine-1' }, { id: 'engine-2', workMs: 60 }] })
    fleet.backends.get('engine-1')!.setFault('full')
    const stream = callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: 'r1', body: 'hello', headers: promptHeaders() })
    await waitUntil(() => countRuns(fleet, 'engine-2') === 1)
    await beginDrain(fleet, 'zone-b')
    expect(await stream).toMatchObject({ isComplete: true, body: [1, 2, 3, 4, 5].map((id) => formatEvent('r1', id)).join('') })
  })

  test('gets requests again after the drain has ended', async () => {
    const fleet = await start()
    await beginDrain(fleet, 'zone-b')
    fleet.store.remove('evacuations', 'zone-b')
    await waitUntil(() => countLines(fleet, 'zone drain ended', 'zone-b') === 1)
    await callMany(fleet, '/lookup/1')
    expect(countRuns(fleet, 'plain-2')).toBeGreaterThan(0)
  })

  // If a malformed entry were ignored, requests would still reach a zone that its operator shuts down.
  test.each([['nothing', null], ['a text', 'soon'], ['a list', [1]]])('is drained whatever its entry contains: %s', async (_name, spec) => {
    const fleet = await start()
    await beginDrain(fleet, 'zone-b', spec)
    await callMany(fleet, '/lookup/1')
    expect(countRuns(fleet, 'plain-2')).toBe(0)
  })

  test('with an unknown zone name has no effect', async () => {
    const fleet = await start()
    await beginDrain(fleet, 'elsewhere', {}, 'zone drain names no zone')
    expect(listStatuses(await callMany(fleet, '/lookup/1'))).toEqual([200])
    expect(countRuns(fleet, 'plain-2')).toBeGreaterThan(0)
  })

  // Callers would wait for servers that no gateway may send to.
  test('and all other zones drained: requests are refused at once as not run, with Retry-After', async () => {
    const fleet = await start()
    await beginDrain(fleet, 'zone-a')
    await beginDrain(fleet, 'zone-b')
    const [result] = await callMany(fleet, '/order/1', 1)
    expect(result).toMatchObject({ status: 503 })
    expect(Number(result?.headers['retry-after'])).toBeGreaterThan(1)
    expect([countRuns(fleet, 'plain-1'), countRuns(fleet, 'plain-2')]).toEqual([0, 0])
    expect(fleet.logs).toContainEqual(expect.objectContaining({ message: 'request ended', reason: 'zoneDrained' }))
  })
})

describe('a request restricted to regions', () => {
  const RESTRICTED_ROUTES = [createRoute('north', { allowed_regions: ['north'] }), createRoute('nowhere', { allowed_regions: ['moon'] }), createRoute('any', { allowed_regions: [] })]

  // A restricted request would leave its region for a less loaded server, or with a retry.
  test('reaches servers of these regions only, also when retried', async () => {
    const fleet = await start({ routes: RESTRICTED_ROUTES })
    await callMany(fleet, '/north/1')
    fleet.backends.get('plain-1')!.setFault('error')
    await callMany(fleet, '/north/2', 4)
    expect(countRuns(fleet, 'plain-1')).toBeGreaterThan(0)
    expect(countRuns(fleet, 'plain-2')).toBe(0)
  })

  test('is refused at once as not run where the region has no server', async () => {
    const fleet = await start({ routes: RESTRICTED_ROUTES })
    expect(listStatuses(await callMany(fleet, '/nowhere/1', 2))).toEqual([503])
    expect(fleet.logs).toContainEqual(expect.objectContaining({ message: 'request ended', reason: 'regionNotAllowed' }))
  })

  // While a region is unreachable its requests would be served in another region.
  test.each(['/north/1', '/north-order/1'])('is not served elsewhere while its region is unreachable: %s', async (path) => {
    const fleet = await start({ routes: [...RESTRICTED_ROUTES, createRoute('north-order', { route_type: 'unsafe', max_attempts: 1, allowed_regions: ['north'] })] })
    await fleet.backends.get('plain-1')!.close()
    const results = await callMany(fleet, path, 4)
    expect(results.every(({ status }) => status >= 500)).toBe(true)
    expect(countRuns(fleet, 'plain-2')).toBe(0)
  })

  test('by an empty list may be served in every region', async () => {
    const fleet = await start({ routes: RESTRICTED_ROUTES })
    await callMany(fleet, '/any/1')
    expect(countRuns(fleet, 'plain-2')).toBeGreaterThan(0)
  })

  test('by its account and by its route is served only where both allow it', async () => {
    const fleet = await start({ routes: RESTRICTED_ROUTES, tenants: [{ name: 'pekarna', api_keys: [KEY], allowed_regions: ['south'] }] })
    expect(listStatuses(await callMany(fleet, '/north/1', 2))).toEqual([503])
    expect(listStatuses(await callMany(fleet, '/any/1', 2))).toEqual([200])
    expect(countRuns(fleet, 'plain-1')).toBe(0)
  })
})

describe('a server that warms up', () => {
  /** A node relies on its view of the fleet from 3 s after its start. */
  const SETTLED_MS = 3_100
  const COLD = { cold_start_s: 3, cold_per_s: 4 }

  // A server that restarts with a cold cache would get all requests of the prompts it ranks highest for, and crash.
  test('gets at most its share, and the others serve the rest', async () => {
    const fleet = await start({ engineService: COLD })
    await pause(SETTLED_MS)
    await makeCold(fleet, ['engine-2'])
    expect(listStatuses(await callMany(fleet, '/chat/1', 24))).toEqual([200])
    expect(countRuns(fleet, 'engine-2')).toBeLessThanOrEqual(4)
  })

  // A server can turn cold without a restart; only its entry in the store shows it.
  test('without a restart gets at most its share', async () => {
    const fleet = await start({ engineService: COLD })
    await pause(SETTLED_MS)
    await makeCold(fleet, ['engine-2'], {})
    expect(listStatuses(await callMany(fleet, '/chat/1', 24))).toEqual([200])
    expect(countRuns(fleet, 'engine-2')).toBeLessThanOrEqual(4)
  })

  // When all servers of a service are cold, requests above their warm-up rate would crash all of them.
  test('like all others of its service: requests above the rate are refused at once as not run', async () => {
    const fleet = await start({ engineService: COLD })
    await pause(SETTLED_MS)
    await makeCold(fleet, ['engine-1', 'engine-2'])
    const results = await callMany(fleet, '/chat/1', 24)
    const refused = results.filter(({ status }) => status === 503)
    expect(results.filter(({ status }) => status === 200).length).toBeGreaterThan(0)
    expect(refused.length).toBeGreaterThan(0)
    expect(refused.every(({ headers }) => headers['retry-after'] !== undefined)).toBe(true)
    for (const id of ['engine-1', 'engine-2']) expect(countRuns(fleet, id)).toBeLessThanOrEqual(4)
    expect(fleet.logs).toContainEqual(expect.objectContaining({ message: 'request ended', reason: 'warmingUp' }))
  })
})
