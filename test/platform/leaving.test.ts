/** Tests that servers that state in an answer that they are leaving get no more requests, over the platform's stand-ins. */
import { afterEach, describe, expect, test } from 'vitest'
import type { CallResult } from '../../platform/standIn/callGateway/index.js'
import { ENGINES, PLAIN } from '../../platform/standIn/createPlatform/index.js'
import type { BackendFault } from '../../platform/standIn/createBackendStandIn/index.js'
import { callLookup, callLookups, callStream, callUntilArrival, countArrivals, pause, waitForEvent } from './_lib/callFleet.js'
import { startGatewayFleet, type FleetOptions, type GatewayFleet } from './_lib/startGatewayFleet.js'

const fleets: GatewayFleet[] = []

const start = async (options: FleetOptions = {}): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet(options)
  fleets.push(fleet)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

/** Lets a server answer one request with the notice, and returns how many requests have reached it. */
const leaveAfterAnswer = (fleet: GatewayFleet, id: string, callOnce: (index: number) => Promise<unknown>): Promise<number> => {
  fleet.backends.get(id)!.startLeaving()
  return callUntilArrival(fleet, id, callOnce)
}

describe('a backend server that stated in an answer that it is leaving', () => {
  // Half of the servers that leave never say so in the list; requests would reach them until they exit.
  test.each<[string, BackendFault]>([['a success', 'none'], ['a failure', 'error'], ['a refusal', 'full'], ['an answer without a length', 'unframed'], ['the answer to another request', 'crossed']])('gets no request after %s', async (_what, fault) => {
    const fleet = await start()
    fleet.backends.get('plain-1')!.setFault(fault)
    const arrivals = await leaveAfterAnswer(fleet, 'plain-1', () => callLookup(fleet))
    expect(await callLookups(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })

  test('gets none on a connection that is already open', async () => {
    const fleet = await start()
    while (countArrivals(fleet, 'plain-1') < 5) await Promise.all(Array.from({ length: 4 }, () => callLookup(fleet)))
    const arrivals = await leaveAfterAnswer(fleet, 'plain-1', () => callLookup(fleet))
    expect(await callLookups(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })

  test('gets no stream, and completes the one that it runs', async () => {
    const fleet = await start()
    const results: CallResult[] = []
    const arrivals = await leaveAfterAnswer(fleet, 'engine-1', async (index) => { results.push(await callStream(fleet, `s${index}`)) })
    for (let index = 0; index < 6; index++) results.push(await callStream(fleet, `later-${index}`))
    expect(results.every(({ status, isComplete }) => status === 200 && isComplete)).toBe(true)
    expect(countArrivals(fleet, 'engine-1')).toBe(arrivals)
  })

  test('gets no stream that breaks elsewhere', async () => {
    const fleet = await start()
    const arrivals = await leaveAfterAnswer(fleet, 'engine-1', (index) => callStream(fleet, `s${index}`))
    fleet.backends.get('engine-2')!.setFault('cut', 3)
    for (let index = 0; index < 3; index++) expect((await callStream(fleet, `later-${index}`)).isComplete).toBe(false)
    expect(countArrivals(fleet, 'engine-1')).toBe(arrivals)
  })

  // The list still shows it as ready: the store may be away, or the server never writes there that it leaves.
  test('gets none after its entry was written again as ready', async () => {
    const fleet = await start()
    const arrivals = await leaveAfterAnswer(fleet, 'plain-1', () => callLookup(fleet))
    fleet.register(fleet.backends.get('plain-1')!, PLAIN, { seq_no: 2 })
    fleet.register(fleet.backends.get('engine-1')!, ENGINES, { state: 'draining' })
    await waitForEvent(fleet, 'backend server leaving', 'engine-1')
    expect(await callLookups(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })

  // Entries that expired while the store was away come back as they were.
  test('gets none after its entry disappeared and came back', async () => {
    const fleet = await start()
    const arrivals = await leaveAfterAnswer(fleet, 'plain-1', () => callLookup(fleet))
    fleet.store.remove('servers', 'plain-1')
    await waitForEvent(fleet, 'backend server removed', 'plain-1')
    fleet.register(fleet.backends.get('plain-1')!, PLAIN)
    await waitForEvent(fleet, 'backend server added', 'plain-1', 2)
    expect(await callLookups(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })

  test('gets requests again as a newer run', async () => {
    const fleet = await start()
    await leaveAfterAnswer(fleet, 'plain-1', () => callLookup(fleet))
    fleet.register(fleet.backends.get('plain-1')!, PLAIN, { born: 2 })
    const arrivals = countArrivals(fleet, 'plain-1')
    expect(await callUntilArrival(fleet, 'plain-1', () => callLookup(fleet))).toBe(arrivals + 1)
  })

  test('gets none while the node is cut off from the store', async () => {
    const fleet = await start()
    fleet.cutFromStore(0)
    const arrivals = await leaveAfterAnswer(fleet, 'plain-1', () => callLookup(fleet))
    expect(await callLookups(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })
})

test('a request is refused at once when all its backend servers are leaving', async () => {
  const fleet = await start()
  for (const id of ['plain-1', 'plain-2']) await leaveAfterAnswer(fleet, id, () => callLookup(fleet))
  const { status, headers } = await callLookup(fleet)
  expect(status).toBe(503)
  expect(Number(headers['retry-after'])).toBeGreaterThan(0)
})

// After a start the node asks engines for their cached prompts before it sends any request.
test('an engine that states in the answer to a query of its cache that it is leaving gets no request', async () => {
  const fleet = await start({ settings: { isFirstStart: false } })
  while (fleet.backends.get('engine-1')!.countCacheReads() === 0) await pause(5)
  fleet.backends.get('engine-1')!.startLeaving()
  await fleet.restart(0)
  await waitForEvent(fleet, 'backend server leaving', 'engine-1')
  for (let index = 0; index < 6; index++) await callStream(fleet, `s${index}`)
  expect(countArrivals(fleet, 'engine-1')).toBe(0)
})
