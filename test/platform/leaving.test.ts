/** Tests that servers that state in an answer that they are leaving get no more requests, over the platform's stand-ins. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders, type CallResult } from '../../platform/standIn/callGateway/index.js'
import { ENGINES, PLAIN } from '../../platform/standIn/createPlatform/index.js'
import type { BackendFault } from '../../platform/standIn/createBackendStandIn/index.js'
import { startGatewayFleet, type FleetOptions, type GatewayFleet } from './_lib/startGatewayFleet.js'

const fleets: GatewayFleet[] = []

const start = async (options: FleetOptions = {}): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet(options)
  fleets.push(fleet)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

const countArrivals = (fleet: GatewayFleet, id: string): number => fleet.backends.get(id)!.records().length

const call = (fleet: GatewayFleet, node = 0): Promise<CallResult> => callGateway(fleet.callerAddress(node), { path: '/lookup/1' })

const stream = (fleet: GatewayFleet, subject: string): Promise<CallResult> =>
  callGateway(fleet.callerAddress(), { path: '/chat/1', body: 'hello', headers: promptHeaders(subject) })

const callMany = async (fleet: GatewayFleet, count = 20): Promise<readonly number[]> => {
  const statuses = new Set<number>()
  for (let index = 0; index < count; index++) statuses.add((await call(fleet)).status)
  return [...statuses]
}

const waitForLine = async (fleet: GatewayFleet, message: string, id: string, count = 1): Promise<void> => {
  while (fleet.logs.filter((line) => line.message === message && line['backendServer'] === id).length < count) await pause(5)
}

/** Lets a server answer one request with the notice, by calls of one kind until it has done so. */
const leaveAfterAnswer = async (fleet: GatewayFleet, id: string, callOnce: (index: number) => Promise<unknown>): Promise<number> => {
  fleet.backends.get(id)!.startLeaving()
  const before = countArrivals(fleet, id)
  for (let index = 0; countArrivals(fleet, id) === before; index++) await callOnce(index)
  return countArrivals(fleet, id)
}

describe('a backend server that stated in an answer that it is leaving', () => {
  // Half of the servers that leave never say so in the list; requests would reach them until they exit.
  test.each<[string, BackendFault]>([['a success', 'none'], ['a failure', 'error'], ['a refusal', 'full'], ['an answer without a length', 'unframed'], ['the answer to another request', 'crossed']])('gets no request after %s', async (_what, fault) => {
    const fleet = await start()
    fleet.backends.get('plain-1')!.setFault(fault)
    const arrivals = await leaveAfterAnswer(fleet, 'plain-1', () => call(fleet))
    expect(await callMany(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })

  test('gets none on a connection that is already open', async () => {
    const fleet = await start()
    while (countArrivals(fleet, 'plain-1') < 5) await Promise.all(Array.from({ length: 4 }, () => call(fleet)))
    const arrivals = await leaveAfterAnswer(fleet, 'plain-1', () => call(fleet))
    expect(await callMany(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })

  test('gets no stream, and completes the one that it runs', async () => {
    const fleet = await start()
    const results: CallResult[] = []
    const arrivals = await leaveAfterAnswer(fleet, 'engine-1', async (index) => { results.push(await stream(fleet, `s${index}`)) })
    for (let index = 0; index < 6; index++) results.push(await stream(fleet, `later-${index}`))
    expect(results.every(({ status, isComplete }) => status === 200 && isComplete)).toBe(true)
    expect(countArrivals(fleet, 'engine-1')).toBe(arrivals)
  })

  test('gets no stream that breaks elsewhere', async () => {
    const fleet = await start()
    const arrivals = await leaveAfterAnswer(fleet, 'engine-1', (index) => stream(fleet, `s${index}`))
    fleet.backends.get('engine-2')!.setFault('cut', 3)
    for (let index = 0; index < 3; index++) expect((await stream(fleet, `later-${index}`)).isComplete).toBe(false)
    expect(countArrivals(fleet, 'engine-1')).toBe(arrivals)
  })

  // The list still shows it as ready: the store may be away, or the server never writes there that it leaves.
  test('gets none after its entry was written again as ready', async () => {
    const fleet = await start()
    const arrivals = await leaveAfterAnswer(fleet, 'plain-1', () => call(fleet))
    fleet.register(fleet.backends.get('plain-1')!, PLAIN, { seq_no: 2 })
    fleet.register(fleet.backends.get('engine-1')!, ENGINES, { state: 'draining' })
    await waitForLine(fleet, 'backend server leaving', 'engine-1')
    expect(await callMany(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })

  // Entries that expired while the store was away come back as they were.
  test('gets none after its entry disappeared and came back', async () => {
    const fleet = await start()
    const arrivals = await leaveAfterAnswer(fleet, 'plain-1', () => call(fleet))
    fleet.store.remove('servers', 'plain-1')
    await waitForLine(fleet, 'backend server removed', 'plain-1')
    fleet.register(fleet.backends.get('plain-1')!, PLAIN)
    await waitForLine(fleet, 'backend server added', 'plain-1', 2)
    expect(await callMany(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })

  test('gets requests again as a newer run', async () => {
    const fleet = await start()
    await leaveAfterAnswer(fleet, 'plain-1', () => call(fleet))
    fleet.register(fleet.backends.get('plain-1')!, PLAIN, { born: 2 })
    const arrivals = countArrivals(fleet, 'plain-1')
    while (countArrivals(fleet, 'plain-1') === arrivals) await call(fleet)
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals + 1)
  })

  test('gets none while the node is cut off from the store', async () => {
    const fleet = await start()
    fleet.cutFromStore(0)
    const arrivals = await leaveAfterAnswer(fleet, 'plain-1', () => call(fleet))
    expect(await callMany(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })
})

test('a request is refused at once when all its backend servers are leaving', async () => {
  const fleet = await start()
  for (const id of ['plain-1', 'plain-2']) await leaveAfterAnswer(fleet, id, () => call(fleet))
  const { status, headers } = await call(fleet)
  expect(status).toBe(503)
  expect(Number(headers['retry-after'])).toBeGreaterThan(0)
})

// After a start the node asks engines for their cached prompts before it sends any request.
test('an engine that states in the answer to a query of its cache that it is leaving gets no request', async () => {
  const fleet = await start({ settings: { isFirstStart: false } })
  while (fleet.backends.get('engine-1')!.countCacheReads() === 0) await pause(5)
  fleet.backends.get('engine-1')!.startLeaving()
  await fleet.restart(0)
  await waitForLine(fleet, 'backend server leaving', 'engine-1')
  for (let index = 0; index < 6; index++) await stream(fleet, `s${index}`)
  expect(countArrivals(fleet, 'engine-1')).toBe(0)
})
