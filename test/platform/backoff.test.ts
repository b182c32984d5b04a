/** Tests that servers that ask for a backoff get no requests within it, over the platform's stand-ins. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway } from '../../platform/standIn/callGateway/index.js'
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

const countArrivals = (fleet: GatewayFleet, id: string): number => fleet.backends.get(id)!.records().length

/** Sends lookups one by one until the server has refused one. */
const callUntilRefused = async (fleet: GatewayFleet, id: string): Promise<void> => {
  while (countArrivals(fleet, id) === 0) await callGateway(fleet.callerAddress(), { path: '/lookup/1' })
}

describe('a backend server that refused with Retry-After', () => {
  // Its requests would be refused again, use up the retry budget, and callers would be refused while other servers are free.
  test('gets no request of the node within that time', async () => {
    const fleet = await start()
    refuseAll(fleet, 'plain-1')
    await callUntilRefused(fleet, 'plain-1')
    const results = []
    for (let index = 0; index < 20; index++) results.push(await callGateway(fleet.callerAddress(), { path: '/lookup/1' }))
    expect([...new Set(results.map(({ status }) => status))]).toEqual([200])
    expect(countArrivals(fleet, 'plain-1')).toBe(1)
  })
})
