/** Tests overloads of services whose servers fall over when they have to refuse too many requests in a second. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, type CallResult } from '../../platform/standIn/callGateway/index.js'
import { callLookup, pause } from './_lib/callFleet.js'
import { startGatewayFleet, type GatewayFleet } from './_lib/startGatewayFleet.js'

const NODES = 4
const SERVERS = ['plain-1', 'plain-2', 'plain-3']
const REFUSALS_BORNE = 8
const ROOM = 3
/** Longer than a node waits after its start before it risks any refusal. */
const SETTLED_MS = 3_200
const BURSTS = 6
const CALLS_PER_BURST = 80
const BURST_GAP_MS = 300

const fleets: GatewayFleet[] = []

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.close() })

/** Starts a fleet that has had answers of brittle servers, which then take fewer requests. */
const start = async (): Promise<GatewayFleet> => {
  const fleet = await startGatewayFleet({ nodes: NODES, hasLinks: true, plain: SERVERS.map((id) => ({ id, workMs: 60 })) })
  fleets.push(fleet)
  for (const id of SERVERS) fleet.backends.get(id)!.setBrittle(REFUSALS_BORNE)
  for (let node = 0; node < NODES; node++) for (let index = 0; index < 3; index++) await callLookup(fleet, node)
  await pause(SETTLED_MS)
  for (const id of SERVERS) fleet.backends.get(id)!.setRoom(ROOM)
  return fleet
}

const callBurst = (fleet: GatewayFleet, nodes: readonly number[]): readonly Promise<CallResult>[] =>
  Array.from({ length: CALLS_PER_BURST }, (_, index) => callGateway(fleet.callerAddress(nodes[index % nodes.length]!), { path: index % 2 === 0 ? '/lookup/1' : '/order/1', body: 'x' }))

/** Calls the nodes in bursts, far beyond what the servers take. */
const overload = async (fleet: GatewayFleet, nodes: readonly number[], onBurst: (burst: number) => void = () => {}): Promise<readonly CallResult[]> => {
  const calls: Promise<CallResult>[] = []
  for (let burst = 0; burst < BURSTS; burst++) {
    onBurst(burst)
    calls.push(...callBurst(fleet, nodes))
    await pause(BURST_GAP_MS)
  }
  return await Promise.all(calls)
}

const countFalls = (fleet: GatewayFleet): number => SERVERS.reduce((sum, id) => sum + fleet.backends.get(id)!.countFalls(), 0)

const countStatus = (results: readonly CallResult[], status: number): number => results.filter((result) => result.status === status).length

describe('brittle servers', () => {
  // Guards against an overload that makes one server after the other fall over, as each refused request moves on to the next one.
  test('do not fall over when far more is asked than they take, and what is not sent is refused with a time to come back', async () => {
    const fleet = await start()
    const results = await overload(fleet, [0, 1, 2, 3])
    expect(countFalls(fleet)).toBe(0)
    expect(countStatus(results, 200)).toBeGreaterThan(BURSTS * SERVERS.length)
    const refused = results.filter(({ status }) => status === 503)
    expect(refused.length + countStatus(results, 200)).toBe(results.length)
    expect(refused.every(({ headers }) => Number(headers['retry-after']) > 0)).toBe(true)
    expect(fleet.logs).toContainEqual(expect.objectContaining({ message: 'request ended', reason: 'serviceFull', sends: 0 }))
  })

  // Guards against nodes that take over the share of a peer that is dead or cut off, and may still use it.
  test('do not fall over when peers die and are cut off meanwhile', async () => {
    const fleet = await start()
    const losses: Promise<void>[] = []
    await overload(fleet, [0, 1, 2], (burst) => {
      if (burst === 1) losses.push(fleet.gateways[3]!.kill())
      if (burst === 3) losses.push(fleet.cutFromServers(2, 'hang'))
    })
    await Promise.all(losses)
    expect(countFalls(fleet)).toBe(0)
  })
})
