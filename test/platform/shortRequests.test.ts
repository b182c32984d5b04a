/**
 * Holds a large fleet on a manual clock to the load limit at servers whose requests are shorter
 * than the time that load counts take: with clocks that differ, a slow server and uneven callers.
 */
import { afterEach, describe, expect, test } from 'vitest'
import { isOverLimit, summarizeArrivals, type Arrival, type LoadLimitResult } from './_lib/measureLoadLimit.js'
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'
import { formatInstanceKey } from '../../src/decisions/formatInstanceKey/index.js'
import { createInProcessFleet, type InProcessFleet } from '../../src/emulator/createInProcessFleet/index.js'
import { describeEngines } from '../../src/emulator/describeEngines/index.js'
import { selectAtNode } from '../../src/emulator/selectAtNode/index.js'
import type { GatewayNode } from '../../src/node/createGatewayNode/index.js'
import type { BackendInstance, EngineCapacity, GatewayRequest } from '../../src/types/index.js'

const ZONES = 3
const SERVICE = 'plain'
const SLOTS = 6
const WORK_MS = 43
const SETTLE_MS = 6_000
const DURATION_MS = 7_000
const STEP_MS = 5
const ALLOWED_SHARE = 0.03
const ENGINE: EngineCapacity = { slots: 64, memoryTokens: 232_000, bytesPerToken: 1, linkMbps: 1_000, canMove: false, canBackUp: false, copyLifetimeMs: 0, tokensPerEvent: 5 }
/** Described engines and their number set the period of the load sums. */
const ENGINES = 63

type Scenario = {
  readonly nodesPerZone: number
  readonly servers: number
  readonly requestsPerSecond: number
  /** How far the wall clocks of two nodes are apart at most. */
  readonly clockDistanceMs?: number
  /** Multiple of the usual work at the first server. */
  readonly slowdown?: number
  /** Share of the requests whose callers are in the first zone; even by default. */
  readonly firstZoneShare?: number
}

const REQUEST: GatewayRequest = {
  requestId: 'request',
  method: 'GET',
  host: 'shop.example',
  target: '/',
  headers: [],
  credential: undefined,
  callerTimeoutMs: undefined,
  lastEventId: undefined,
  promptParts: [],
  tokens: { prompt: 0, output: 0 },
  receivedAt: 0
}

const fleets: InProcessFleet[] = []

afterEach(async () => { for (const fleet of fleets.splice(0)) await fleet.stop() })

const startFleet = async ({ nodesPerZone, servers, clockDistanceMs = 0 }: Scenario, random: () => number): Promise<InProcessFleet> => {
  const fleet = createInProcessFleet({ nodesPerZone, zones: ZONES, random, wallOffsetMs: () => Math.floor(random() * clockDistanceMs), gatewayConfiguration: { services: describeEngines(ENGINE) } })
  fleets.push(fleet)
  for (let index = 0; index < servers; index++) fleet.putInstance(`plain-${index}`, { availabilityZone: `zone-${index % ZONES}`, slots: SLOTS, service: SERVICE })
  for (let index = 0; index < ENGINES; index++) fleet.putInstance(`engine-${index}`, { availabilityZone: `zone-${index % ZONES}`, slots: ENGINE.slots })
  await fleet.start()
  await fleet.clock.advanceAndSettle(SETTLE_MS)
  return fleet
}

const select = (node: GatewayNode, random: () => number): BackendInstance | undefined =>
  selectAtNode(node, { request: REQUEST, service: SERVICE, bodyBytes: 0, tried: new Set(), allowedRegions: [] }, { random })

/** Servers with a number of slots and a queue; `hold` returns when the request has ended. */
const createServers = (fleet: InProcessFleet, scenario: Scenario, random: () => number) => {
  const keys = Array.from({ length: scenario.servers }, (_, index) => `plain-${index}@1`)
  const running = keys.map(() => 0)
  const queues: (() => void)[][] = keys.map(() => [])
  const begin = (index: number, onEnd: () => void): void => {
    running[index]! += 1
    const workMs = WORK_MS * (0.6 + 0.8 * random()) * (index === 0 ? scenario.slowdown ?? 1 : 1)
    fleet.clock.setTimer(workMs, () => {
      running[index]! -= 1
      onEnd()
      queues[index]!.shift()?.()
    })
  }
  return {
    indexOf: (key: string): number => keys.indexOf(key),
    loads: (): readonly number[] => keys.map((_, index) => running[index]! + queues[index]!.length),
    hold: (index: number, onEnd: () => void): void => {
      if (running[index]! < SLOTS) begin(index, onEnd)
      else queues[index]!.push(() => begin(index, onEnd))
    }
  }
}

const selectCallerNode = (fleet: InProcessFleet, { firstZoneShare = 0 }: Scenario, random: () => number): GatewayNode => {
  const index = Math.floor(random() * fleet.nodes.length)
  return fleet.nodes[random() < firstZoneShare ? index - index % ZONES : index]!
}

const play = async (seed: number, scenario: Scenario): Promise<LoadLimitResult> => {
  const random = createSeededRandom(seed).next
  const fleet = await startFleet(scenario, random)
  const servers = createServers(fleet, scenario, random)
  const arrivals: Arrival[] = []
  const startedAt = fleet.clock.now()
  const send = (): void => {
    const node = selectCallerNode(fleet, scenario, random)
    const instance = select(node, random)!
    const key = formatInstanceKey(instance)
    const index = servers.indexOf(key)
    arrivals.push({ at: fleet.clock.now() - startedAt, isOverLimit: isOverLimit(servers.loads(), index) })
    node.resolve('loadView').recordStart(key)
    const work = node.resolve('serverWork').recordSend(instance, { missingTokens: 0, expectedOutputTokens: 0, maximumOutputTokens: 0 })
    servers.hold(index, () => {
      node.resolve('loadView').recordEnd(key)
      work.recordEnd()
    })
  }
  let dueMs = 0
  while (fleet.clock.now() - startedAt < DURATION_MS) {
    await fleet.clock.advanceAndSettle(STEP_MS)
    for (; dueMs <= fleet.clock.now() - startedAt; dueMs -= 1_000 / scenario.requestsPerSecond * Math.log(1 - random())) send()
  }
  return summarizeArrivals(arrivals)
}

const KIOSK: Scenario = { nodesPerZone: 24, servers: 3, requestsPerSecond: 121 }

// All nodes would send to the server that was idle at the last sum, until the next one names another.
describe.each<[string, Scenario]>([
  ['while clocks agree', KIOSK],
  ['while clocks are 400 ms apart', { ...KIOSK, clockDistanceMs: 400 }],
  ['with a server that works four times as long', { ...KIOSK, requestsPerSecond: 90, slowdown: 4 }],
  ['with most callers in one zone', { ...KIOSK, firstZoneShare: 0.6 }],
  ['of a large service', { ...KIOSK, servers: 30, requestsPerSecond: 1_200 }],
  ['of a fleet that is just too large for a full mesh', { ...KIOSK, nodesPerZone: 5 }],
  ['of a small fleet', { ...KIOSK, nodesPerZone: 2 }]
])('servers of short requests %s', (_what, scenario) => {
  test.each([1, 2])('are not over the load limit (seed %i)', async (seed) => {
    const result = await play(seed, scenario)
    expect(result.worstShare, JSON.stringify(result)).toBeLessThanOrEqual(ALLOWED_SHARE)
  })
})
