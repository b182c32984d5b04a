/**
 * Holds real daemons to the load limit at servers of short requests, on machines whose wall
 * clocks differ and that pause. LOAD_SEEDS sets the number of seeds, LOAD_FIRST_SEED the first.
 */
import { Agent } from 'node:http'
import { afterEach, describe, expect, test } from 'vitest'
import { measureLoadLimit } from './_lib/measureLoadLimit.js'
import { callGateway } from '../../platform/standIn/callGateway/index.js'
import { createPlatform } from '../../platform/standIn/createPlatform/index.js'
import { PROGRAM, startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'

const SEEDS = Number(process.env.LOAD_SEEDS ?? 1)
const FIRST_SEED = Number(process.env.LOAD_FIRST_SEED ?? 1)
/** More than a full mesh, so that loads go as sums by zone. */
const NODES = 18
const ZONES = 3
const SERVERS = 3
const WORK_MS = 43
const REQUESTS_PER_SECOND = 121
const SETTLE_MS = 4_000
const DURATION_MS = 8_000
const PAUSE_INTERVAL_MS = 400
const PAUSE_MS = 150
const CLOCK_DISTANCE_MS = 330
const ALLOWED_SHARE = 0.03

const closing: (() => Promise<void>)[] = []

afterEach(async () => { await Promise.all(closing.splice(0).map((close) => close())) })

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Arguments of node for a daemon whose wall clock is ahead of the machine's. */
const setClockAhead = (ms: number): readonly string[] =>
  ms === 0 ? PROGRAM : [`--import=data:text/javascript,const now=Date.now;Date.now=()=>now()+${ms}`, ...PROGRAM]

const startFleet = async (clockDistanceMs: number, random: () => number) => {
  const ids = Array.from({ length: SERVERS }, (_, index) => `plain-${index}`)
  const platform = await createPlatform({
    plain: ids.map((id) => ({ id, workMs: WORK_MS })),
    entries: Object.fromEntries(ids.map((id, index) => [id, { zone: `zone-${index % ZONES}`, slots: 6 }]))
  })
  closing.push(platform.close)
  const start = async (index: number, seeds: readonly GatewayProcess[]): Promise<GatewayProcess> => {
    const node = await startGatewayProcess({
      name: `node-${index}`,
      store: platform.store.address(),
      seeds: seeds.map(({ peerAddress }) => peerAddress),
      fields: { zone: `zone-${index % ZONES}` },
      program: setClockAhead(Math.floor(random() * clockDistanceMs))
    })
    closing.unshift(node.close)
    return node
  }
  const first = await start(0, [])
  const others = await Promise.all(Array.from({ length: NODES - 1 }, (_, index) => start(index + 1, [first])))
  return { platform, nodes: [first, ...others] }
}

/** Stops single nodes for a moment, one after the other, until `until` in monotonic milliseconds. */
const pauseNodes = async (nodes: readonly GatewayProcess[], until: number, random: () => number): Promise<void> => {
  while (performance.now() < until) {
    const node = nodes[Math.floor(random() * nodes.length)]!
    node.signal('SIGSTOP')
    await pause(PAUSE_MS)
    node.signal('SIGCONT')
    await pause(PAUSE_INTERVAL_MS - PAUSE_MS)
  }
}

/** Sends requests at random intervals to random nodes until `until` in monotonic milliseconds. */
const sendRequests = async (nodes: readonly GatewayProcess[], until: number, random: () => number): Promise<void> => {
  const agent = new Agent({ keepAlive: true })
  const calls: Promise<unknown>[] = []
  let dueAt = performance.now()
  while (dueAt < until) {
    await pause(Math.max(0, dueAt - performance.now()))
    calls.push(callGateway(nodes[Math.floor(random() * nodes.length)]!.callerAddress, { path: '/lookup/1', agent }))
    dueAt -= 1_000 / REQUESTS_PER_SECOND * Math.log(1 - random())
  }
  await Promise.all(calls)
  agent.destroy()
}

const play = async (seed: number, options: { readonly clockDistanceMs: number, readonly hasPauses: boolean }) => {
  const random = createSeededRandom(seed).next
  const { platform, nodes } = await startFleet(options.clockDistanceMs, random)
  await pause(SETTLE_MS)
  const startedAt = performance.now()
  const until = startedAt + DURATION_MS
  await Promise.all([sendRequests(nodes, until, random), options.hasPauses ? pauseNodes(nodes, until, random) : undefined])
  const backends = Array.from({ length: SERVERS }, (_, index) => platform.backends.get(`plain-${index}`)!)
  return measureLoadLimit(backends, startedAt)
}

describe.each(Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index))('servers of short requests (seed %i)', (seed) => {
  // All nodes send to the server that was idle at the last sum, which is older than the requests that it counts.
  test('are not over the load limit while clocks agree', async () => {
    const result = await play(seed, { clockDistanceMs: 0, hasPauses: false })
    expect(result.requests).toBeGreaterThan(500)
    expect(result.worstShare, JSON.stringify(result)).toBeLessThanOrEqual(ALLOWED_SHARE)
  })

  // The same with sums that are older, as they are on machines whose clocks differ and whose processes pause.
  test('are not over the load limit while clocks differ and nodes pause', async () => {
    const result = await play(seed, { clockDistanceMs: CLOCK_DISTANCE_MS, hasPauses: true })
    expect(result.requests).toBeGreaterThan(500)
    expect(result.worstShare, JSON.stringify(result)).toBeLessThanOrEqual(ALLOWED_SHARE)
  })
})
