/** Tests that an answer is believed for the request id that it carries, not for its place on a connection. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway } from '../../platform/standIn/callGateway/index.js'
import type { BackendFault } from '../../platform/standIn/createBackendStandIn/index.js'
import { startGatewayFleet, type GatewayFleet } from './_lib/startGatewayFleet.js'

const fleets: GatewayFleet[] = []

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

const start = async (servers: number): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet({ plain: Array.from({ length: servers }, (_, index) => ({ id: `plain-${index + 1}`, workMs: 60 })) })
  fleets.push(fleet)
  return fleet
}

const spoilNextAnswers = (fleet: GatewayFleet, fault: BackendFault): void => {
  for (const id of ['plain-1', 'plain-2']) fleet.backends.get(id)?.setFault(fault, 1)
}

const countRuns = (fleet: GatewayFleet, requestId: string): number =>
  [...fleet.backends.values()].flatMap((backend) => backend.records()).filter((record) => record.requestId === requestId && record.isRun).length

describe.each(['strayRefusal', 'strayMisdirection'] as const)('an answer without a request id (%s)', (fault) => {
  // A refusal that is left over from another request says nothing about the one in flight, which runs.
  test('promises neither the gateway nor the caller that an order was not run', async () => {
    const fleet = await start(2)
    spoilNextAnswers(fleet, fault)
    const { status } = await callGateway(fleet.callerAddress(), { path: '/order/1', body: 'x', requestId: 'order' })
    expect([status, countRuns(fleet, 'order')]).toEqual([502, 1])
  })

  // Its backoff, its load and its change of address belong to whoever sent it.
  test('does not keep its server from the next request', async () => {
    const fleet = await start(1)
    spoilNextAnswers(fleet, fault)
    await callGateway(fleet.callerAddress(), { path: '/order/1', body: 'x' })
    const { status } = await callGateway(fleet.callerAddress(), { path: '/order/1', body: 'x' })
    expect(status).toBe(200)
  })
})
