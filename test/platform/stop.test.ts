/** Tests the shutdown of a gateway as its callers and the platform's load balancer see it. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { startGatewayFleet, type FleetOptions, type GatewayFleet } from './_lib/startGatewayFleet.js'

const fleets: GatewayFleet[] = []

const start = async (options: FleetOptions = {}): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet(options)
  fleets.push(fleet)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

const readReadiness = async (fleet: GatewayFleet): Promise<number> => {
  const { host, port } = fleet.gateways[0]!.readinessAddress
  return (await fetch(`http://${host}:${port}/readyz`)).status
}

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

describe('a gateway that is shutting down', () => {
  test('fails its readiness check at once and keeps serving', async () => {
    const fleet = await start()
    expect(await readReadiness(fleet)).toBe(200)
    const stopped = fleet.gateways[0]!.stop()
    expect(await readReadiness(fleet)).toBe(503)
    const result = await callGateway(fleet.callerAddress(), { path: '/lookup/1' })
    expect(result).toMatchObject({ status: 200, isComplete: true })
    expect(result.headers.connection).toBe('close')
    await stopped
  })

  test('completes the requests in flight', async () => {
    const fleet = await start({ engines: [{ id: 'engine-1', workMs: 100, events: 15 }] })
    const call = callGateway(fleet.callerAddress(), { path: '/chat/1', body: 'x', headers: promptHeaders() })
    await pause(150)
    const [result] = await Promise.all([call, fleet.gateways[0]!.stop()])
    expect(result).toMatchObject({ status: 200, isComplete: true })
  })

  // Without these lines the logs of a killed process don't tell which of its requests it cut.
  test('names the requests that are open while it stops', async () => {
    const fleet = await start({ engines: [{ id: 'engine-1', workMs: 100, events: 25 }], settings: { graceMs: 1_500 } })
    const call = callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: 'open', body: 'x', headers: promptHeaders() })
    await pause(150)
    await Promise.all([call, fleet.gateways[0]!.stop()])
    const reports = fleet.logs.filter(({ message }) => message === 'requests open at shutdown')
    expect(reports.length).toBeGreaterThanOrEqual(2)
    for (const { open, requests } of reports) expect([open, requests]).toEqual([1, expect.stringMatching(/^open age=\d+ at=engine-1 silent=\d+$/)])
  })

  // A long stream accepted late in the grace period would be cut when the process exits.
  test('refuses requests that would outlast the grace period, as not run', async () => {
    const fleet = await start({ settings: { graceMs: 2_500 } })
    const stopped = fleet.gateways[0]!.stop()
    await pause(600)
    const result = await callGateway(fleet.callerAddress(), { path: '/chat/1', requestId: 'long', body: 'x', headers: { ...promptHeaders(), 'X-Token-Count': '300,5000' } })
    expect(result.status).toBe(503)
    expect(Number(result.headers['retry-after'])).toBeLessThan(1)
    expect([...fleet.backends.values()].flatMap((backend) => backend.records())).toHaveLength(0)
    expect(fleet.logs.find(({ requestId }) => requestId === 'long')).toMatchObject({ reason: 'shuttingDown', shutdownMs: expect.any(Number), untilExitMs: expect.any(Number) })
    await stopped
  })
})
