/**
 * Soak of planned stops. Clients call real daemons over new and over open connections, until the
 * process is gone, while daemons get SIGTERM, repeated signals and SIGHUP and start again, the
 * configuration changes and backend servers pause, at random times that overlap. SOAK_SEEDS sets
 * the number of seeds, SOAK_FIRST_SEED the first.
 */
import { Agent } from 'node:http'
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, nextRequestId, promptHeaders, type CallResult } from '../../platform/standIn/callGateway/index.js'
import { createPlatform, createRoute, ENGINES, type PlatformStandIn } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'

const SEEDS = Number(process.env.SOAK_SEEDS ?? 2)
const FIRST_SEED = Number(process.env.SOAK_FIRST_SEED ?? 1)
const NODE_NAMES = ['node-1', 'node-2', 'node-3']
const CLIENTS_PER_NODE = 8
const DISTURBANCES = 28
const GRACE_S = 8
const TIMEOUT_MS = 12_000
/** A request that takes longer may still run in the last sixth of a grace period, where a stop may cut it. */
const MAXIMUM_JUDGED_MS = GRACE_S * 1_000 * 5 / 6
const MAXIMUM_SILENCE_MS = 2_000
/** Pause of a client that was refused, about the longest Retry-After of a node that stops. */
const REFUSED_PAUSE_MS = 100
const PATHS = ['/lookup/1', '/order/1', '/chat/1', '/once/1']

/** One run of a daemon. Its name is the same after a restart. */
type Node = { readonly name: string, readonly process: GatewayProcess, isGone: boolean }

type Call = { readonly requestId: string, readonly path: string, readonly node: Node, readonly result: CallResult }

const closing: (() => Promise<void>)[] = []

afterEach(async () => { for (const close of closing.splice(0).reverse()) await close() })

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

const startServers = async (): Promise<PlatformStandIn> => {
  const stream = { route_type: 'stream', service: ENGINES, gap_target_ms: 300, timeout_ms: TIMEOUT_MS }
  const platform = await createPlatform({
    engines: ['e1', 'e2', 'e3'].map((id) => ({ id, workMs: 40, events: 30 })),
    plain: ['p1', 'p2', 'p3'].map((id) => ({ id, workMs: 80 })),
    routes: [
      createRoute('lookup', { timeout_ms: TIMEOUT_MS }),
      createRoute('order', { route_type: 'unsafe', max_attempts: 1, timeout_ms: TIMEOUT_MS }),
      createRoute('chat', { ...stream, resumable: true }),
      createRoute('once', { ...stream, resumable: false, max_attempts: 1 })
    ]
  })
  closing.push(platform.close)
  return platform
}

const startNodes = (store: Parameters<typeof startGatewayProcess>[0]['store']) => {
  const nodes = new Map<string, Node>()
  const start = async (name: string): Promise<void> => {
    const seeds = [...nodes.values()].filter(({ isGone }) => !isGone).map((node) => node.process.peerAddress)
    const process = await startGatewayProcess({ name, store, seeds, fields: { 'bounds.grace_s': String(GRACE_S) } })
    const node: Node = { name, process, isGone: false }
    process.ended.then(() => { node.isGone = true }, () => { node.isGone = true })
    closing.push(process.close)
    nodes.set(name, node)
  }
  return { start, find: (name: string): Node | undefined => nodes.get(name)?.isGone === false ? nodes.get(name) : undefined }
}

const playSoak = async (seed: number) => {
  const random = createSeededRandom(seed)
  const draw = (maximum: number): number => Math.floor(random.next() * maximum)
  const pick = <Item>(items: readonly Item[]): Item => items[draw(items.length)]!
  const platform = await startServers()
  const backends = [...platform.backends.values()]
  const nodes = startNodes(platform.store.address())
  for (const name of NODE_NAMES) await nodes.start(name)
  const calls: Call[] = []
  const exits: (number | string)[] = []
  const soak = { isOver: false, version: 1 }

  const callOnce = async (node: Node, agent?: Agent): Promise<number> => {
    const path = pick(PATHS)
    const requestId = nextRequestId()
    const isStream = path === '/chat/1' || path === '/once/1'
    const headers = isStream ? { ...promptHeaders(`s${draw(9)}`, requestId), 'X-Token-Count': `300,${30 + draw(3_000)}` } : {}
    const result = await callGateway(node.process.callerAddress, { path, requestId, timeoutMs: TIMEOUT_MS, body: 'x', headers, ...(agent === undefined ? {} : { agent }) })
    calls.push({ requestId, path, node, result })
    return result.status
  }

  /** Half of the clients use their open connection until the process is gone, the others a new one for each request. */
  const runClient = async (name: string, isKept: boolean): Promise<void> => {
    while (!soak.isOver) {
      const node = nodes.find(name)
      if (node === undefined) {
        await pause(20)
        continue
      }
      const agent = isKept ? new Agent({ keepAlive: true, maxSockets: 1 }) : undefined
      while (!soak.isOver && !node.isGone) {
        const status = await callOnce(node, agent)
        await pause(status === 200 ? draw(60) : REFUSED_PAUSE_MS)
      }
      agent?.destroy()
    }
  }

  const stopNode = async (): Promise<void> => {
    const node = nodes.find(pick(NODE_NAMES))
    if (node === undefined) return
    const repeats = draw(3)
    node.process.signal('SIGTERM')
    for (let index = 0; index < repeats; index++) {
      await pause(draw(800))
      node.process.signal(pick(['SIGTERM', 'SIGHUP'] as const))
    }
    exits.push(await node.process.ended)
    if (!soak.isOver && nodes.find(node.name) === undefined) await nodes.start(node.name)
  }

  const disturbances: readonly (() => Promise<void> | void)[] = [
    stopNode,
    stopNode,
    () => pick(backends).fallSilent(draw(MAXIMUM_SILENCE_MS)),
    () => pick(backends).fallSilent(draw(MAXIMUM_SILENCE_MS)),
    () => { for (const backend of backends) backend.fallSilent(draw(MAXIMUM_SILENCE_MS)) },
    () => nodes.find(pick(NODE_NAMES))?.process.signal('SIGHUP'),
    () => {
      soak.version += 1
      platform.applyConfiguration(soak.version)
    }
  ]

  const clients = NODE_NAMES.flatMap((name) => Array.from({ length: CLIENTS_PER_NODE }, (_, index) => runClient(name, index % 2 === 0)))
  const underWay: (Promise<void> | void)[] = []
  for (let index = 0; index < DISTURBANCES; index++) {
    underWay.push(pick(disturbances)())
    await pause(draw(700))
  }
  await Promise.all(underWay)
  soak.isOver = true
  await Promise.all(clients)
  return { calls, exits, runs: backends.flatMap((backend) => backend.records().filter(({ isRun }) => isRun).map(({ requestId }) => requestId)) }
}

const describeCall = ({ requestId, path, node, result }: Call): string => {
  const steps = node.process.lines.filter((line) => line['requestId'] === requestId).map(({ message, reason, backendServer }) => [message, reason, backendServer].filter(Boolean).join(' '))
  return `${requestId} ${path} ${node.name} ${result.status} after ${Math.round(result.ms)} ms: ${steps.join(', ')}`
}

describe('planned stops while backend servers pause', () => {
  // Guards against accepted requests without an answer, and against processes that a repeated signal ends.
  test.each(Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index))('cut no request that was passed on, and no process ends early (seed %i)', async (seed) => {
    const { calls, exits, runs } = await playSoak(seed)
    const haveRun = new Set(runs)
    const cut = calls.filter(({ requestId, result }) => !result.isComplete && haveRun.has(requestId) && result.ms < MAXIMUM_JUDGED_MS)
    expect(cut.map(describeCall)).toEqual([])
    expect(exits.filter((code) => code !== 0)).toEqual([])
    expect(exits.length).toBeGreaterThan(0)
    expect(calls.filter(({ requestId, result }) => result.status === 503 && haveRun.has(requestId))).toEqual([])
    const orders = runs.filter((requestId) => calls.find((call) => call.requestId === requestId)?.path === '/order/1')
    expect(new Set(orders).size).toBe(orders.length)
    expect(calls.filter(({ result }) => result.status === 200 && result.isComplete).length).toBeGreaterThan(CLIENTS_PER_NODE * NODE_NAMES.length)
  })
})
