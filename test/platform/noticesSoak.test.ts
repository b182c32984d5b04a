/**
 * Soak of what backend servers state about themselves. Clients keep calling real daemons over
 * open connections while servers refuse with Retry-After, leave, vanish from the store and are
 * replaced, the store fails, and daemons are stopped, killed, paused and reloaded, at random
 * times that overlap. SOAK_SEEDS sets the number of seeds, SOAK_FIRST_SEED the first.
 */
import { Agent } from 'node:http'
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, nextRequestId, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { createBackendStandIn, type BackendStandIn } from '../../platform/standIn/createBackendStandIn/index.js'
import { createPlatform, ENGINES, PLAIN, type PlatformStandIn } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'

const SEEDS = Number(process.env.SOAK_SEEDS ?? 3)
const FIRST_SEED = Number(process.env.SOAK_FIRST_SEED ?? 1)
const NODES = 3
const CLIENTS_PER_NODE = 6
const DISTURBANCES = 24
const PATHS = ['/lookup/1', '/order/1', '/chat/1', '/once/1']

/** One run of a daemon. Its name is the same after a restart. */
type Node = { readonly name: string, readonly process: GatewayProcess, isGone: boolean }

type Call = { readonly requestId: string, readonly node: Node, readonly path: string, readonly sentAt: number, readonly endedAt: number, readonly status: number, readonly signature: string | undefined, readonly isFromLeaving: boolean }

type Server = { readonly backend: BackendStandIn, readonly service: string, readonly born: number }

const closing: (() => Promise<void>)[] = []

afterEach(async () => { for (const close of closing.splice(0).reverse()) await close() })

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

/** Starts the platform, and returns the servers that run now and all that ever ran. */
const startServers = async () => {
  const platform: PlatformStandIn = await createPlatform({ plain: ['p1', 'p2', 'p3', 'p4'].map((id) => ({ id })), engines: ['e1', 'e2', 'e3'].map((id) => ({ id })) })
  closing.push(platform.close)
  const running: Server[] = [...platform.backends].map(([id, backend]) => ({ backend, service: id.startsWith('p') ? PLAIN : ENGINES, born: 1 }))
  const all = [...running]
  const register = ({ backend, service, born }: Server): void => platform.register(backend, service, { born })
  return {
    store: platform.store,
    running,
    all,
    register,
    /** The server is replaced by another run, under its own id or a new one. */
    replace: async (old: Server, id: string): Promise<void> => {
      const next: Server = { backend: await createBackendStandIn({ id }), service: old.service, born: old.born + 1 }
      closing.push(next.backend.close)
      running.splice(running.indexOf(old), 1, next)
      all.push(next)
      if (id !== old.backend.id) platform.store.remove('servers', old.backend.id)
      register(next)
    }
  }
}

const startNodes = (store: Parameters<typeof startGatewayProcess>[0]['store']) => {
  const nodes: Node[] = []
  const start = async (name: string): Promise<Node> => {
    const process = await startGatewayProcess({ name, store, seeds: nodes.filter(({ isGone }) => !isGone).map((node) => node.process.peerAddress) })
    const node: Node = { name, process, isGone: false }
    process.ended.then(() => { node.isGone = true }, () => { node.isGone = true })
    closing.push(process.close)
    nodes.push(node)
    return node
  }
  return { start, find: (name: string): Node | undefined => nodes.findLast((node) => node.name === name && !node.isGone) }
}

const playSoak = async (seed: number) => {
  const random = createSeededRandom(seed)
  const draw = (maximum: number): number => Math.floor(random.next() * maximum)
  const pick = <Item>(items: readonly Item[]): Item => items[draw(items.length)]!
  const servers = await startServers()
  const nodes = startNodes(servers.store.address())
  const names = Array.from({ length: NODES }, (_, index) => `node-${index + 1}`)
  for (const name of names) await nodes.start(name)
  const calls: Call[] = []
  const soak = { isOver: false }

  const callOnce = async (node: Node, agent: Agent): Promise<void> => {
    const path = pick(PATHS)
    const requestId = nextRequestId()
    const sentAt = performance.now()
    const isStream = path.startsWith('/chat') || path.startsWith('/once')
    const { status, headers } = await callGateway(node.process.callerAddress, { path, requestId, agent, timeoutMs: 2_000, body: 'x', headers: isStream ? promptHeaders(`s${draw(9)}`) : {} })
    calls.push({ requestId, node, path, sentAt, endedAt: performance.now(), status, signature: headers['x-server-stamp'], isFromLeaving: headers['server-leaving'] === '1' })
  }

  /** Uses its open connection until the process is gone. */
  const runClient = async (name: string): Promise<void> => {
    while (!soak.isOver) {
      const node = nodes.find(name)
      if (node === undefined) {
        await pause(20)
        continue
      }
      const agent = new Agent({ keepAlive: true, maxSockets: 1 })
      while (!soak.isOver && !node.isGone) {
        await callOnce(node, agent)
        await pause(draw(30))
      }
      agent.destroy()
    }
  }

  const endNode = async (signal: 'SIGTERM' | 'SIGKILL'): Promise<void> => {
    const node = nodes.find(pick(names))
    if (node === undefined) return
    node.process.signal(signal)
    await node.process.ended
    await nodes.start(node.name)
  }

  const withStoreFault = async (fault: 'busy' | 'reset' | 'silent'): Promise<void> => {
    servers.store.setRetryAfter(1)
    servers.store.setFault(fault)
    await pause(500 + draw(1_500))
    servers.store.setFault('none')
  }

  const leave = async (nextId: (id: string) => string): Promise<void> => {
    const server = pick(servers.running)
    server.backend.startLeaving()
    await pause(500 + draw(1_500))
    if (servers.running.includes(server)) await servers.replace(server, nextId(server.backend.id))
  }

  const disturbances: readonly (() => Promise<void> | void)[] = [
    ...Array.from({ length: 4 }, () => () => {
      const { backend } = pick(servers.running)
      backend.setRetryAfter(0.5 + draw(25) / 10)
      backend.setFault('full', 1 + draw(8))
    }),
    () => leave((id) => `${id}+`),
    () => leave((id) => id),
    async () => {
      const server = pick(servers.running)
      servers.store.remove('servers', server.backend.id)
      await pause(draw(1_000))
      if (servers.running.includes(server)) servers.register(server)
    },
    () => withStoreFault(pick(['busy', 'reset', 'silent'] as const)),
    () => endNode('SIGTERM'),
    () => endNode('SIGKILL'),
    async () => {
      const node = nodes.find(pick(names))
      node?.process.signal('SIGSTOP')
      await pause(200 + draw(1_000))
      node?.process.signal('SIGCONT')
    },
    () => {
      const node = nodes.find(pick(names))
      node?.process.rewriteSettings({ 'bounds.retry_ratio': String(0.1 + draw(3) / 10) })
      node?.process.signal('SIGHUP')
    }
  ]

  const clients = names.flatMap((name) => Array.from({ length: CLIENTS_PER_NODE }, () => runClient(name)))
  const underWay: (Promise<void> | void)[] = []
  for (let index = 0; index < DISTURBANCES; index++) {
    underWay.push(pick(disturbances)())
    await pause(draw(700))
  }
  await Promise.all(underWay)
  await pause(1_000)
  soak.isOver = true
  await Promise.all(clients)
  return { calls, servers: servers.all }
}

/** Whether the node logged that it read the refusal. It aborts an exchange that is silent for too long, as after a pause, and may then miss the answer. */
const hasReadRefusal = ({ node, requestId }: Call, backendServer: string): boolean =>
  node.process.lines.some((line) => line['message'] === 'backend server refused' && line['requestId'] === requestId && line['backendServer'] === backendServer)

/** Requests that a client sent after the node had read a refusal and ended the refused request, and that reached the server before the end of its backoff. */
const findSentInBackoff = (calls: ReadonlyMap<string, Call>, { backend }: Server): readonly string[] =>
  backend.records().filter(({ backoffMs }) => backoffMs !== undefined).flatMap((refused) => {
    const first = calls.get(refused.requestId)
    if (first === undefined || !hasReadRefusal(first, backend.id)) return []
    const isViolation = (requestId: string, arrivedAt: number): boolean => {
      const call = calls.get(requestId)
      return call !== undefined && call.node === first.node && call.sentAt > first.endedAt && arrivedAt < refused.arrivedAt + refused.backoffMs!
    }
    return backend.records().filter(({ requestId, arrivedAt }) => isViolation(requestId, arrivedAt)).map(({ requestId }) => `${requestId} after ${refused.requestId}`)
  })

/**
 * Requests that a client sent after the node had passed on an answer in which the server states that it is leaving, and that
 * reached it. The signature tells whose answer it was: a request that a silent server ran may be answered by another one.
 */
const findSentToLeaving = (calls: ReadonlyMap<string, Call>, { backend }: Server): readonly string[] => {
  const told = backend.records().flatMap(({ requestId, isRun }) => {
    const call = calls.get(requestId)
    return isRun && call?.isFromLeaving === true && call.signature === `stamp-${backend.id}` ? [call] : []
  })
  return backend.records().flatMap(({ requestId }) => {
    const call = calls.get(requestId)
    const earlier = call && told.find((one) => one.node === call.node && one.endedAt < call.sentAt)
    return earlier === undefined ? [] : [`${requestId} after ${earlier.requestId}`]
  })
}

describe('under faults that overlap', () => {
  test.each(Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index))('servers get nothing that they asked not to get, and refused requests do not run (seed %i)', async (seed) => {
    const { calls, servers } = await playSoak(seed)
    const callsById = new Map(calls.map((call) => [call.requestId, call]))
    expect(servers.some(({ backend }) => backend.records().some(({ backoffMs }) => backoffMs !== undefined))).toBe(true)
    expect(calls.some(({ isFromLeaving }) => isFromLeaving)).toBe(true)
    expect(servers.flatMap((server) => findSentInBackoff(callsById, server))).toEqual([])
    expect(servers.flatMap((server) => findSentToLeaving(callsById, server))).toEqual([])
    const runs = servers.flatMap(({ backend }) => backend.records().filter(({ isRun }) => isRun).map(({ requestId }) => requestId))
    expect(runs.filter((requestId) => callsById.get(requestId)?.status === 503)).toEqual([])
    const orders = runs.filter((requestId) => callsById.get(requestId)?.path === '/order/1')
    expect(new Set(orders).size).toBe(orders.length)
    expect(calls.filter(({ status }) => status === 200).length).toBeGreaterThan(calls.length / 2)
  })
})
