/** Tests what holds for requests that a node without a path to any backend server sends through a peer. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { formatEvent, type BackendRecord } from '../../platform/standIn/createBackendStandIn/index.js'
import { KEY } from '../../platform/standIn/createPlatform/index.js'
import { callLookup, callStream, pause } from './_lib/callFleet.js'
import { startGatewayFleet, type FleetOptions, type GatewayFleet, type LogLine } from './_lib/startGatewayFleet.js'

const fleets: GatewayFleet[] = []

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

const waitUntil = async (isDone: () => boolean): Promise<void> => {
  while (!isDone()) await pause(5)
}

const findLines = (fleet: GatewayFleet, message: string, fields: Readonly<Record<string, unknown>> = {}): readonly LogLine[] =>
  fleet.logs.filter((line) => line.message === message && Object.entries(fields).every(([name, value]) => line[name] === value))

const findRecords = (fleet: GatewayFleet, requestId: string): readonly BackendRecord[] =>
  [...fleet.backends.values()].flatMap((backend) => backend.records()).filter((record) => record.requestId === requestId)

/** Cuts a node off from all servers and calls until it has noticed. */
const cutOff = async (fleet: GatewayFleet, node = 0): Promise<void> => {
  await fleet.cutFromServers(node, 'hang')
  const hasNoticed = (): boolean => findLines(fleet, 'all backend servers out of reach', { node: `node-${node + 1}` }).length > 0
  while (!hasNoticed()) await Promise.all([callLookup(fleet, node), callGateway(fleet.callerAddress(node), { path: '/chat/1', body: 'x', headers: promptHeaders() }), pause(50)])
}

/** Starts a fleet whose first node reaches no server. */
const start = async (options: FleetOptions = {}): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet({ nodes: 2, hasLinks: true, entries: { 'plain-2': { zone: 'zone-b' }, 'engine-2': { zone: 'zone-b' } }, ...options })
  fleets.push(fleet)
  await cutOff(fleet)
  return fleet
}

describe('a request of a node that is cut off', () => {
  test('is logged under its id on both nodes', async () => {
    const fleet = await start()
    expect((await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: 'r1' })).status).toBe(200)
    expect(findLines(fleet, 'request relayed', { requestId: 'r1', node: 'node-1' })).toHaveLength(1)
    expect(findLines(fleet, 'request sent', { requestId: 'r1', node: 'node-2', relayedFor: 'node-1' })).toHaveLength(1)
  })

  // A time of day would be wrong on a peer whose clock differs.
  test('reaches the server with what is left of its time, as a duration', async () => {
    const fleet = await start()
    await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: 'r1', timeoutMs: 1_500 })
    const remainingMs = Number(findRecords(fleet, 'r1')[0]?.headers['x-deadline-ms'])
    expect(remainingMs).toBeGreaterThan(0)
    expect(remainingMs).toBeLessThanOrEqual(1_500)
  })

  test('has the account of its key and no key at the server', async () => {
    const fleet = await start()
    await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'two loaves', headers: { 'X-Tenant': 'forged' } })
    const [record] = findRecords(fleet, 'r1')
    expect(record).toMatchObject({ body: 'two loaves', method: 'POST', target: '/order/1' })
    expect(record?.headers['x-tenant']).toBe('pekarna')
    expect(Object.keys(record?.headers ?? {}).filter((name) => name === 'authorization' || name.startsWith('dotterelspoke'))).toEqual([])
  })

  // Guards against an order that runs twice, or is called not run, when the peer dies after it has the order.
  test('is not sent again and not called not run when the peer dies, where it may run once only', async () => {
    const fleet = await start({ nodes: 3, plain: ['plain-1', 'plain-2'].map((id) => ({ id, workMs: 400 })) })
    const call = callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    await waitUntil(() => findRecords(fleet, 'r1').length > 0)
    const [line] = findLines(fleet, 'request sent', { requestId: 'r1' })
    await fleet.gateways[Number(String(line?.['node']).at(-1)) - 1]!.kill()
    expect([502, 504]).toContain((await call).status)
    expect(findRecords(fleet, 'r1')).toHaveLength(1)
  })

  // Guards against the promise of a server without proof that crosses the hop, in the peer's answer or in the node's own.
  test.each(['unproven408', 'unproven429', 'unproven503'] as const)('is not called not run where its server ran it and answers %s', async (fault) => {
    const fleet = await start()
    for (const backend of fleet.backends.values()) backend.setFault(fault)
    const order = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
    const once = await callGateway(fleet.callerAddress(), { path: '/once/1', requestId: 'r2', body: 'x', headers: promptHeaders() })
    expect([order, once].map(({ status, headers }) => [status, headers['x-server-stamp']])).toEqual([[502, undefined], [502, undefined]])
    expect([findRecords(fleet, 'r1').length, findRecords(fleet, 'r2').length]).toEqual([1, 1])
    expect(findLines(fleet, 'request relayed', { requestId: 'r1' })).toHaveLength(1)
  })

  // Guards against a retry across the hop that goes to the server that has just failed.
  test('is repeated at another server where that is allowed and the first answers 503 without proof', async () => {
    const fleet = await start()
    const failing = fleet.backends.get('plain-2')!
    failing.setFault('unproven503')
    const results = await Promise.all(Array.from({ length: 6 }, (_, index) => callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: `r${index}` })))
    expect(results.map(({ status }) => status)).toEqual(Array.from({ length: 6 }, () => 200))
    expect(failing.records().length).toBeGreaterThan(0)
  })

  test('is sent through another peer when the first one dies, where it may be repeated', async () => {
    const fleet = await start({ nodes: 3, plain: ['plain-1', 'plain-2'].map((id) => ({ id, workMs: 400 })) })
    const call = callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: 'r1' })
    await waitUntil(() => findRecords(fleet, 'r1').length > 0)
    const [line] = findLines(fleet, 'request sent', { requestId: 'r1' })
    await fleet.gateways[Number(String(line?.['node']).at(-1)) - 1]!.kill()
    expect((await call).status).toBe(200)
  })

  // Guards against a server that works on for a caller that has left.
  test('ends at the server when its caller leaves', async () => {
    const fleet = await start({ engines: ['engine-1', 'engine-2'].map((id) => ({ id, workMs: 20, events: 1_000 })) })
    const leaving = new AbortController()
    const call = callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: 'r1', body: 'x', headers: promptHeaders(), signal: leaving.signal })
    await waitUntil(() => findRecords(fleet, 'r1').length > 0)
    leaving.abort()
    await call
    await waitUntil(() => findRecords(fleet, 'r1').every(({ abandonedAfterMs }) => abandonedAfterMs !== undefined))
  })

  // Guards against events that are lost or come twice when a stream is resumed across the hop.
  test('gets the whole stream in order when its server cuts it off in the middle of an event', async () => {
    const fleet = await start({ engines: ['engine-1', 'engine-2'].map((id) => ({ id, workMs: 100 })) })
    for (const backend of fleet.backends.values()) backend.setFault('cut')
    const call = callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: 'r1', body: 'x', headers: promptHeaders() })
    await waitUntil(() => findRecords(fleet, 'r1').length > 0)
    for (const backend of fleet.backends.values()) backend.setFault('none')
    const { body, isComplete } = await call
    expect(isComplete).toBe(true)
    expect(findRecords(fleet, 'r1').map(({ headers }) => headers['last-event-id'])).toEqual([undefined, '2'])
    expect(body).toBe([1, 2, 3, 4, 5].map((id) => formatEvent('r1', id)).join(''))
  })

  test('breaks off its stream where that may not be resumed', async () => {
    const fleet = await start()
    for (const backend of fleet.backends.values()) backend.setFault('cut', 1)
    const { isComplete } = await callGateway(fleet.callerAddress(), { path: '/once/1', requestId: 'r1', body: 'x', headers: promptHeaders() })
    expect(isComplete).toBe(false)
    expect(findRecords(fleet, 'r1')).toHaveLength(1)
  })

  // Guards against a retry budget that is spent on both sides of the hop.
  test.each([[0, 1], [500, 2]])('with %i retries allowed reaches %i servers when all fail', async (retryExtra, arrivals) => {
    const fleet = await start({ settings: { retryRatio: 0, retryExtra } })
    for (const backend of fleet.backends.values()) backend.setFault('error')
    expect((await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: 'r1' })).status).toBe(500)
    expect(findRecords(fleet, 'r1')).toHaveLength(arrivals)
  })

  test('reaches no server of a drained zone', async () => {
    const fleet = await start()
    fleet.store.put('evacuations', 'zone-b', {})
    await waitUntil(() => findLines(fleet, 'zone drain begun').length === 2)
    for (let index = 0; index < 6; index++) expect((await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: `r${index}` })).status).toBe(200)
    const drained = new Set(fleet.backends.get('plain-2')!.records().map(({ requestId }) => requestId))
    expect(Array.from({ length: 6 }, (_, index) => drained.has(`r${index}`))).not.toContain(true)
  })

  test('reaches no server within the backoff that it asked the peer for', async () => {
    const fleet = await start()
    const refusing = fleet.backends.get('plain-1')!
    refusing.setRetryAfter(60)
    refusing.setFault('full')
    while (findLines(fleet, 'backend server backoff begun', { node: 'node-2' }).length === 0) await callLookup(fleet, 1)
    const arrivals = refusing.records().length
    for (let index = 0; index < 6; index++) expect((await callLookup(fleet)).status).toBe(200)
    expect(refusing.records()).toHaveLength(arrivals)
  })

  // Guards against a key that works on through a peer when its revocation can't be excluded any more.
  test('is refused as not run when no node can confirm its key any more', async () => {
    const fleet = await start({ settings: { keyRevocationMs: 1_500 } })
    fleet.store.setFault('reset')
    while ((await callGateway(fleet.callerAddress(1), { path: '/lookup/1' })).status !== 503) await pause(50)
    expect((await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: 'r1' })).status).toBe(503)
    expect(findRecords(fleet, 'r1')).toHaveLength(0)
  })

  test('is refused when the key was taken away', async () => {
    const fleet = await start()
    fleet.applyConfiguration(2, { tenants: [{ name: 'pekarna', api_keys: ['second-key'], priority: 1 }] })
    await waitUntil(() => findLines(fleet, 'configuration in force', { version: 2 }).length === 2)
    expect((await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: 'r1', key: KEY })).status).toBe(401)
    expect(findRecords(fleet, 'r1')).toHaveLength(0)
  })

  test('is served by the peers that are left while one shuts down', async () => {
    const fleet = await start({ nodes: 3 })
    const stopped = fleet.gateways[1]!.stop()
    const statuses: number[] = []
    for (let index = 0; index < 20; index++) statuses.push((await callLookup(fleet)).status)
    expect(new Set(statuses)).toEqual(new Set([200]))
    await stopped
  })

  test('is refused as not run by a peer that shuts down and could not end it in time', async () => {
    const fleet = await start({ settings: { graceMs: 2_500 } })
    const stopped = fleet.gateways[1]!.stop()
    await pause(600)
    const { status } = await callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: 'r1', body: 'x', headers: { ...promptHeaders(), 'X-Token-Count': '300,5000' } })
    expect(status).toBe(503)
    expect(findRecords(fleet, 'r1')).toHaveLength(0)
    await stopped
  })
})

// Guards against requests that go to and fro between nodes that are all cut off.
test('a request crosses one hop at most, and is refused when its peer is cut off as well', async () => {
  const fleet = await start()
  await cutOff(fleet, 1)
  const { status } = await callGateway(fleet.callerAddress(), { path: '/order/1', requestId: 'r1', body: 'x' })
  expect(status).toBe(503)
  expect(findLines(fleet, 'request relayed', { requestId: 'r1' }).length).toBeLessThanOrEqual(1)
  expect(findRecords(fleet, 'r1')).toHaveLength(0)
})

test('a node sends directly again once it reaches the servers', async () => {
  const fleet = await start()
  await fleet.healServers(0)
  const isDirect = async (index: number): Promise<boolean> => {
    await callGateway(fleet.callerAddress(), { path: '/lookup/1', requestId: `r${index}` })
    await callStream(fleet, 'aa')
    return findLines(fleet, 'request relayed', { requestId: `r${index}` }).length === 0
  }
  for (let index = 0; !await isDirect(index); index++) await pause(50)
  await waitUntil(() => findLines(fleet, 'backend servers in reach again').length > 0)
})

// A caller that is refused has to come back later, and its first try has failed.
test('all streams that are open at once at a node that is cut off are served by its peers', async () => {
  const fleet = await start({ nodes: 3 })
  const results = await Promise.all(Array.from({ length: 40 }, (_, index) => callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: `r${index}`, body: 'x', headers: promptHeaders(`s${index}`) })))
  expect(results.every(({ status, isComplete }) => status === 200 && isComplete)).toBe(true)
  expect(new Set(findLines(fleet, 'request relayed').map((line) => line['peer']))).toEqual(new Set(['node-2', 'node-3']))
})
