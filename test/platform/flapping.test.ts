/** Tests what callers see while a backend server repeatedly goes down and up. */
import { afterEach, expect, test } from 'vitest'
import { callGateway, type CallResult } from '../../platform/standIn/callGateway/index.js'
import { startGatewayFleet, type GatewayFleet } from './_lib/startGatewayFleet.js'
import type { BackendFault } from '../../platform/standIn/createBackendStandIn/index.js'

const PERIOD_MS = 300
const TURNS = 8
const CALLS_PER_TURN = 4

const fleets: GatewayFleet[] = []

const start = async (): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet({ plain: [{ id: 'plain-1' }, { id: 'plain-2' }, { id: 'plain-3' }] })
  fleets.push(fleet)
  return fleet
}

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

/** Sends calls at a steady rate while one server is down in every other turn. */
const callThroughTurns = async (fleet: GatewayFleet, fault: BackendFault, path: string): Promise<readonly CallResult[]> => {
  const calls: Promise<CallResult>[] = []
  for (let turn = 0; turn < TURNS; turn++) {
    fleet.backends.get('plain-1')!.setFault(turn % 2 === 0 ? fault : 'none')
    for (let call = 0; call < CALLS_PER_TURN; call++) {
      calls.push(callGateway(fleet.callerAddress(), { path: `${path}/${turn}-${call}`, requestId: `${path}-${turn}-${call}` }))
      await new Promise((resolve) => { setTimeout(resolve, PERIOD_MS / CALLS_PER_TURN) })
    }
  }
  return await Promise.all(calls)
}

// Lookups would fail with a flapping server although another server can answer them.
test.each(['reset', 'error', 'dark'] as const)('a lookup is answered while one server flaps (%s)', async (fault) => {
  const results = await callThroughTurns(await start(), fault, '/lookup')
  expect(results.map(({ status }) => status)).toEqual(results.map(() => 200))
})

// A retry after a failure of the flapping server would run an order twice, or an order that ran would be refused as not run.
test.each(['reset', 'error', 'dark', 'full'] as const)('an order runs at most once while one server flaps (%s)', async (fault) => {
  const fleet = await start()
  const results = await callThroughTurns(fleet, fault, '/order')
  const runs = [...fleet.backends.values()].flatMap((backend) => backend.records()).filter(({ isRun }) => isRun).map(({ requestId }) => requestId)
  expect(new Set(runs).size).toBe(runs.length)
  results.forEach(({ status }, index) => {
    const requestId = `/order-${Math.floor(index / CALLS_PER_TURN)}-${index % CALLS_PER_TURN}`
    if (status === 200) expect(runs).toContain(requestId)
    if (status === 503) expect(runs).not.toContain(requestId)
  })
})
