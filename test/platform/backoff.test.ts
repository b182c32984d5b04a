/** Tests that servers that ask for a backoff get no requests within it, over the platform's stand-ins. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway } from '../../platform/standIn/callGateway/index.js'
import { PLAIN, createRoute } from '../../platform/standIn/createPlatform/index.js'
import { composeGatewaySettings } from '../../src/emulator/composeGatewaySettings/index.js'
import { callLookup, callLookups, callStream, callUntilArrival, countArrivals, pause, waitForEvent } from './_lib/callFleet.js'
import { startGatewayFleet, type FleetOptions, type GatewayFleet } from './_lib/startGatewayFleet.js'

/** Outlasts every test, so that no result depends on the time it took. */
const BACKOFF_SECONDS = 60

const fleets: GatewayFleet[] = []

const start = async (options: FleetOptions = {}): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet(options)
  fleets.push(fleet)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

const refuseAll = (fleet: GatewayFleet, id: string): void => {
  fleet.backends.get(id)!.setFault('full')
  fleet.backends.get(id)!.setRetryAfter(BACKOFF_SECONDS)
}

const callUntilRefused = (fleet: GatewayFleet, id: string, node = 0): Promise<number> => callUntilArrival(fleet, id, () => callLookup(fleet, node))

describe('a backend server that refused with Retry-After', () => {
  // Its requests would be refused again, use up the retry budget, and callers would be refused while other servers are free.
  test('gets no request of the node within that time', async () => {
    const fleet = await start()
    refuseAll(fleet, 'plain-1')
    await callUntilRefused(fleet, 'plain-1')
    expect(await callLookups(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(1)
  })

  // A connection that is already open reaches the server as a new one does.
  test('gets none on a connection that is already open', async () => {
    const fleet = await start()
    while (countArrivals(fleet, 'plain-1') < 5) await Promise.all(Array.from({ length: 4 }, () => callLookup(fleet)))
    refuseAll(fleet, 'plain-1')
    await callUntilRefused(fleet, 'plain-1')
    const arrivals = countArrivals(fleet, 'plain-1')
    expect(await callLookups(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(arrivals)
  })

  test('gets no retry of a request that fails elsewhere', async () => {
    const fleet = await start()
    refuseAll(fleet, 'plain-1')
    await callUntilRefused(fleet, 'plain-1')
    fleet.backends.get('plain-2')!.setFault('error', 3)
    expect(await callLookups(fleet, 3)).toEqual([500])
    expect(countArrivals(fleet, 'plain-1')).toBe(1)
  })

  test('gets no stream that breaks elsewhere', async () => {
    const fleet = await start()
    refuseAll(fleet, 'engine-1')
    for (let index = 0; countArrivals(fleet, 'engine-1') === 0; index++) await callStream(fleet, `s${index}`)
    fleet.backends.get('engine-2')!.setFault('cut', 3)
    for (let index = 0; index < 3; index++) expect((await callStream(fleet, `s${index}`)).isComplete).toBe(false)
    expect(countArrivals(fleet, 'engine-1')).toBe(1)
  })

  test('gets requests again after that time', async () => {
    const fleet = await start()
    fleet.backends.get('plain-1')!.setFault('full', 1)
    fleet.backends.get('plain-1')!.setRetryAfter(0.2)
    await callUntilRefused(fleet, 'plain-1')
    await callUntilRefused(fleet, 'plain-1')
    expect(fleet.backends.get('plain-1')!.records().map(({ isRun }) => isRun)).toEqual([false, true])
  })

  // It asked one node only; the others may be far under what it takes.
  test('gets requests of other nodes', async () => {
    const fleet = await start({ nodes: 2 })
    refuseAll(fleet, 'plain-1')
    await callUntilRefused(fleet, 'plain-1', 0)
    await callUntilRefused(fleet, 'plain-1', 1)
    expect(countArrivals(fleet, 'plain-1')).toBe(2)
  })

  // A backoff that is dropped with the entry would end as soon as the store has a gap.
  test.each([['the same run', 1], ['another run', 2]])('gets none when its entry disappears and comes back as %s', async (_what, born) => {
    const fleet = await start()
    refuseAll(fleet, 'plain-1')
    await callUntilRefused(fleet, 'plain-1')
    fleet.store.remove('servers', 'plain-1')
    await waitForEvent(fleet, 'backend server removed', 'plain-1')
    fleet.register(fleet.backends.get('plain-1')!, PLAIN, { born })
    await waitForEvent(fleet, 'backend server added', 'plain-1', 2)
    expect(await callLookups(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(1)
  })

  test('gets none after the settings were reloaded', async () => {
    const fleet = await start()
    refuseAll(fleet, 'plain-1')
    await callUntilRefused(fleet, 'plain-1')
    fleet.gateways[0]!.applySettings(composeGatewaySettings('node-1', { retryExtra: 500 }))
    expect(await callLookups(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(1)
  })

  test('gets none while the node is cut off from the store', async () => {
    const fleet = await start()
    refuseAll(fleet, 'plain-1')
    await callUntilRefused(fleet, 'plain-1')
    fleet.cutFromStore(0)
    expect(await callLookups(fleet)).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(1)
  })
})

// After a start the node asks engines for their cached prompts before it sends any request.
test('an engine that refuses a query of its cache with Retry-After gets no request within that time', async () => {
  const fleet = await start({ settings: { isFirstStart: false } })
  while (fleet.backends.get('engine-1')!.countCacheReads() === 0) await pause(5)
  refuseAll(fleet, 'engine-1')
  await fleet.restart(0)
  await waitForEvent(fleet, 'backend server backoff begun', 'engine-1')
  for (let index = 0; index < 6; index++) await callStream(fleet, `s${index}`)
  expect(countArrivals(fleet, 'engine-1')).toBe(0)
})

describe('a request whose backend servers are all in backoff', () => {
  const startInBackoff = async (): Promise<GatewayFleet> => {
    const fleet = await start()
    for (const id of ['plain-1', 'plain-2']) refuseAll(fleet, id)
    await callLookup(fleet)
    expect([countArrivals(fleet, 'plain-1'), countArrivals(fleet, 'plain-2')]).toEqual([1, 1])
    return fleet
  }

  // Held until its deadline, the caller would lose the time in which another node could serve it.
  test('is refused at once as not run', async () => {
    const fleet = await startInBackoff()
    const result = await callGateway(fleet.callerAddress(), { path: '/order/1', body: 'x', requestId: 'r1' })
    expect(result.status).toBe(503)
    expect([countArrivals(fleet, 'plain-1'), countArrivals(fleet, 'plain-2')]).toEqual([1, 1])
    expect(fleet.logs).toContainEqual(expect.objectContaining({ message: 'request ended', requestId: 'r1', reason: 'backingOff', sends: 0, mayHaveRun: false }))
  })

  test('is told to come back soon where the backoffs outlast its deadline', async () => {
    const fleet = await startInBackoff()
    const { headers } = await callGateway(fleet.callerAddress(), { path: '/lookup/1', timeoutMs: 2_000 })
    expect(Number(headers['retry-after'])).toBeLessThan(1)
  })

  test('is told to come back after the first backoff where its deadline is later', async () => {
    const fleet = await start({ routes: [createRoute('lookup', { timeout_ms: 600_000 })] })
    for (const id of ['plain-1', 'plain-2']) refuseAll(fleet, id)
    const { headers } = await callGateway(fleet.callerAddress(), { path: '/lookup/1', timeoutMs: 600_000 })
    expect(Number(headers['retry-after'])).toBeGreaterThan(BACKOFF_SECONDS / 2)
  })
})
