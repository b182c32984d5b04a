/**
 * Soak of nodes that lose their paths to backend servers. Clients keep calling real daemons over
 * open connections while the links of nodes to all servers hang, are reset, lose one direction or
 * refuse what is new, in series and overlapping, and while daemons are stopped, killed, paused and
 * reloaded, servers fail, are silent for a second, or have little room and fall over when they
 * have to refuse too much. SOAK_SEEDS sets the number of seeds, SOAK_FIRST_SEED the first.
 */
import { Agent } from 'node:http'
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, nextRequestId, promptHeaders, type CallResult } from '../../platform/standIn/callGateway/index.js'
import { formatEvent } from '../../platform/standIn/createBackendStandIn/index.js'
import { createPlatform, type PlatformStandIn } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { createSeededRandom } from '../../src/adapters/seededRandom/index.js'
import { createServerLink, LINK_CUTS, type LinkCut, type ServerLink } from '../_lib/createServerLink.js'

const SEEDS = Number(process.env.SOAK_SEEDS ?? 2)
const FIRST_SEED = Number(process.env.SOAK_FIRST_SEED ?? 1)
const NODES = 4
const CLIENTS_PER_NODE = 5
const CUTS = 6
const DISTURBANCES = 14
const PATHS = ['/lookup/1', '/order/1', '/chat/1', '/once/1']
const PLAIN_SERVERS = ['p1', 'p2', 'p3', 'p4']
const ENGINES = ['e1', 'e2', 'e3']
const EVENTS = 5
const SERVER_FAULTS = ['reset', 'error', 'cut', 'unproven408', 'unproven429', 'unproven503', 'status600'] as const
/** Statuses that promise: not run, and never will be. */
const PROMISES = new Set([408, 421, 429, 503])
const REFUSALS_BORNE = 10
/** A node that is cut off or disturbed has this long until its callers must be served like others. */
const CONTACT_MS = 3_000
const SERVED_SHARE = 2 / 3
/** First tries that may fail at nodes that are cut off, and the share of all first tries besides. */
const FAILURES_ALLOWED = 10
const FAILED_SHARE_ALLOWED = 1 / 50

type Span = { readonly from: number, until: number }

type Node = { readonly name: string, readonly links: ReadonlyMap<string, ServerLink>, readonly cuts: Span[], readonly disturbances: Span[], readonly processes: GatewayProcess[], process: GatewayProcess | undefined }

type Call = CallResult & { readonly requestId: string, readonly node: Node, readonly path: string, readonly sentAt: number }

const closing: (() => Promise<void>)[] = []

afterEach(async () => { for (const close of closing.splice(0).reverse()) await close() })

const pause = (ms: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, ms) })

const startPlatform = async (): Promise<PlatformStandIn> => {
  const ids = [...PLAIN_SERVERS, ...ENGINES]
  const platform = await createPlatform({
    plain: PLAIN_SERVERS.map((id) => ({ id, workMs: 30 })),
    engines: ENGINES.map((id) => ({ id, workMs: 20, events: EVENTS })),
    entries: Object.fromEntries(ids.map((id, index) => [id, { zone: `zone-${index % 3}` }]))
  })
  closing.push(platform.close)
  for (const id of PLAIN_SERVERS) platform.backends.get(id)!.setBrittle(REFUSALS_BORNE)
  return platform
}

/** Starts one node in a zone of its own, which reads a store with the near ends of its links. */
const startNode = async (platform: PlatformStandIn, name: string) => {
  const links = new Map<string, ServerLink>()
  const ports = new Map<number, number>()
  for (const [id, backend] of platform.backends) {
    const link = await createServerLink(backend.address().port)
    links.set(id, link)
    ports.set(backend.address().port, link.port)
    closing.push(link.close)
  }
  const store = await platform.addStore(({ host, port }) => ({ host, port: ports.get(port) ?? port }))
  const node: Node = { name, links, cuts: [], disturbances: [], processes: [], process: undefined }
  const start = async (nodes: readonly Node[]): Promise<void> => {
    const seeds = nodes.flatMap((other) => other === node || other.process === undefined ? [] : [other.process.peerAddress])
    const process = await startGatewayProcess({ name, store: store.address(), seeds, fields: { zone: `node-zone-${name}`, fleet_key: 'fleet of the soak' } })
    closing.push(process.close)
    node.processes.push(process)
    node.process = process
    process.ended.then(() => { if (node.process === process) node.process = undefined }, () => { /* the test fails where it starts the process */ })
  }
  return { node, start }
}

const playSoak = async (seed: number) => {
  const random = createSeededRandom(seed)
  const draw = (maximum: number): number => Math.floor(random.next() * maximum)
  const pick = <Item>(items: readonly Item[]): Item => items[draw(items.length)]!
  const platform = await startPlatform()
  const started: Awaited<ReturnType<typeof startNode>>[] = []
  for (let index = 0; index < NODES; index++) started.push(await startNode(platform, `node-${index + 1}`))
  const nodes = started.map(({ node }) => node)
  for (const { start } of started) await start(nodes)
  await pause(CONTACT_MS)
  const calls: Call[] = []
  const soak = { isOver: false }

  const callOnce = async (node: Node, process: GatewayProcess, agent: Agent): Promise<void> => {
    const path = pick(PATHS)
    const requestId = nextRequestId()
    const sentAt = performance.now()
    const isStream = path.startsWith('/chat') || path.startsWith('/once')
    const result = await callGateway(process.callerAddress, { path, requestId, agent, timeoutMs: 2_000, body: 'x', headers: isStream ? promptHeaders(`s${draw(9)}`) : {} })
    calls.push({ ...result, requestId, node, path, sentAt })
  }

  /** Uses an open connection until the process is gone. */
  const useProcess = async (node: Node, process: GatewayProcess): Promise<void> => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    const isInUse = (): boolean => !soak.isOver && node.process === process
    while (isInUse()) {
      await callOnce(node, process, agent)
      await pause(20 + draw(60))
    }
    agent.destroy()
  }

  const runClient = async (node: Node): Promise<void> => {
    while (!soak.isOver) {
      if (node.process !== undefined) await useProcess(node, node.process)
      await pause(20)
    }
  }

  const within = async (spans: Span[], act: () => Promise<void>): Promise<void> => {
    const span: Span = { from: performance.now(), until: Infinity }
    spans.push(span)
    await act()
    span.until = performance.now()
  }

  const eachLink = (node: Node, act: (link: ServerLink) => Promise<void>): Promise<unknown> => Promise.all([...node.links.values()].map(act))

  const cutOff = (node: Node, how: LinkCut): Promise<void> => within(node.cuts, async () => {
    await eachLink(node, (link) => link.cut(how))
    await pause(1_000 + draw(6_000))
    await eachLink(node, (link) => link.heal())
  })

  const endNode = async (signal: 'SIGTERM' | 'SIGKILL'): Promise<void> => {
    const { node, start } = pick(started)
    const { process } = node
    if (process === undefined) return
    await within(node.disturbances, async () => {
      process.signal(signal)
      await process.ended
      await start(nodes)
    })
  }

  const disturbances: readonly (() => Promise<void> | void)[] = [
    () => endNode('SIGTERM'),
    () => endNode('SIGKILL'),
    async () => {
      const node = pick(nodes)
      await within(node.disturbances, async () => {
        node.process?.signal('SIGSTOP')
        await pause(200 + draw(1_000))
        node.process?.signal('SIGCONT')
      })
    },
    () => {
      const { process } = pick(nodes)
      process?.rewriteSettings({ 'bounds.retry_ratio': String(0.1 + draw(3) / 10) })
      process?.signal('SIGHUP')
    },
    () => platform.backends.get(pick([...PLAIN_SERVERS, ...ENGINES]))!.setFault(pick(SERVER_FAULTS), 1 + draw(4)),
    async () => {
      const id = pick([...PLAIN_SERVERS, ...ENGINES])
      const links = nodes.map(({ links: own }) => own.get(id)!)
      for (const link of links) link.silence()
      await pause(1_000)
      for (const link of links) link.endSilence()
    },
    async () => {
      const backend = platform.backends.get(pick(PLAIN_SERVERS))!
      backend.setRoom(1 + draw(3))
      await pause(500 + draw(2_000))
      backend.setRoom(Infinity)
    }
  ]

  const play = async (count: number, act: () => Promise<void> | void, gapMs: number): Promise<void> => {
    const underWay: (Promise<void> | void)[] = []
    for (let index = 0; index < count; index++) {
      underWay.push(act())
      await pause(draw(gapMs))
    }
    await Promise.all(underWay)
  }

  const clients = nodes.flatMap((node) => Array.from({ length: CLIENTS_PER_NODE }, () => runClient(node)))
  // The last node is never cut off, so that there is always one through which requests can go.
  await Promise.all([
    play(CUTS, () => cutOff(pick(nodes.slice(0, -1)), pick(LINK_CUTS)), 4_000),
    play(DISTURBANCES, () => pick(disturbances)(), 1_600)
  ])
  await pause(1_000)
  soak.isOver = true
  await Promise.all(clients)
  return { calls, platform, nodes }
}

const isIn = (spans: readonly Span[], at: number): boolean => spans.some(({ from, until }) => at >= from && at <= until)

/** Whether a node was disturbed, or its links were restored, less than the contact time before. */
const isUnsettled = ({ cuts, disturbances }: Node, at: number): boolean =>
  disturbances.some(({ from, until }) => at >= from && at <= until + CONTACT_MS) || cuts.some(({ from }) => at >= from && at <= from + CONTACT_MS)

const isServed = ({ status, isComplete }: Call): boolean => status === 200 && isComplete

/** Counts calls by path, status and the reason that the node logged. */
const countByReason = (calls: readonly Call[]): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {}
  for (const { requestId, node, path, status } of calls) {
    const line = node.processes.flatMap(({ lines }) => lines).find((one) => one['message'] === 'request ended' && one['requestId'] === requestId)
    const key = `${path} ${status} ${String(line?.['reason'])}`
    counts[key] = (counts[key] ?? 0) + 1
  }
  return counts
}

const measureShare = (calls: readonly Call[]): number => calls.filter(isServed).length / Math.max(1, calls.length)

describe('under cuts and faults that overlap', () => {
  test.each(Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index))('callers of nodes that are cut off are served like others, once and whole (seed %i)', async (seed) => {
    const { calls, platform, nodes } = await playSoak(seed)
    const settled = calls.filter((call) => !isUnsettled(call.node, call.sentAt))
    const cutOff = settled.filter((call) => isIn(call.node.cuts, call.sentAt))
    const others = settled.filter((call) => !isIn(call.node.cuts, call.sentAt))
    const failed = cutOff.filter((call) => !isServed(call))
    const isServedWorse = measureShare(cutOff) < SERVED_SHARE * measureShare(others) && failed.length > FAILURES_ALLOWED + FAILED_SHARE_ALLOWED * settled.length
    expect({ isServedWorse, of: cutOff.length, failed: isServedWorse ? countByReason(failed) : {} }).toEqual({ isServedWorse: false, of: cutOff.length, failed: {} })
    const callsById = new Map(calls.map((call) => [call.requestId, call]))
    const runs = [...platform.backends.values()].flatMap((backend) => backend.records().filter(({ isRun }) => isRun).map(({ requestId }) => requestId))
    expect(runs.filter((requestId) => PROMISES.has(callsById.get(requestId)?.status ?? 0))).toEqual([])
    const orders = runs.filter((requestId) => callsById.get(requestId)?.path === '/order/1')
    expect(new Set(orders).size).toBe(orders.length)
    const streams = calls.filter((call) => isServed(call) && (call.path === '/chat/1' || call.path === '/once/1'))
    const whole = (requestId: string): string => Array.from({ length: EVENTS }, (_, index) => formatEvent(requestId, index + 1)).join('')
    expect(streams.filter(({ requestId, body }) => body !== whole(requestId))).toEqual([])
    const falls = PLAIN_SERVERS.reduce((sum, id) => sum + platform.backends.get(id)!.countFalls(), 0)
    expect(falls).toBeLessThanOrEqual(2 + PLAIN_SERVERS.length / 10)
    expect(nodes.some(({ processes }) => processes.some(({ lines }) => lines.some((line) => line['message'] === 'request relayed')))).toBe(true)
    expect(measureShare(calls)).toBeGreaterThan(1 / 2)
  })
})
