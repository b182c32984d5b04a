/**
 * A fleet of gateway processes before model engines that end under requests with one prompt
 * part, and come back after a while under another id; and callers whose requests have that
 * part or share all others with it.
 */
import { callGateway, nextRequestId, type CallResult } from '../../../platform/standIn/callGateway/index.js'
import { createPlatform, createRoute, ENGINES, type PlatformStandIn } from '../../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../../platform/standIn/startGatewayProcess/index.js'
import type { BackendStandInOptions } from '../../../platform/standIn/createBackendStandIn/index.js'
import { waitFor } from '../../_lib/waitFor.js'
import { pause } from './callFleet.js'

export type EndingServers = {
  readonly platform: PlatformStandIn
  readonly nodes: readonly GatewayProcess[]
  /** Kills a node and starts it again, with nothing of what it knew. */
  readonly restart: (index: number) => Promise<void>
  /** Ends the server that has run for longest, for another reason than a prompt. */
  readonly endOldest: () => void
  readonly countEnds: () => number
  /** Number of requests with the part that reached a server. */
  readonly countHarmful: () => number
  readonly close: () => Promise<void>
}

export type EndingServersOptions = {
  readonly nodes: number
  readonly servers: number
  /** Whether the nodes know each other; otherwise each is cut off from all others. */
  readonly hasPeers?: boolean
}

export type Answer = CallResult & { readonly isHarmful: boolean, readonly startedAt: number }

export type TrafficOptions = {
  readonly durationMs: number
  readonly soundPerSecond: number
  readonly harmfulPerSecond: number
}

export const HARMFUL_PART = 'bad0'
/** The part that all requests share. */
const COMMON_PART = 'c0'
const DOCUMENTS = 6
const ZONES = ['zone-a', 'zone-b', 'zone-c']
const EVENTS = 8
const EVENT_MS = 10
/** The entry of a server that ended stays for this long, and the next server starts after the other time; in milliseconds. */
const ENTRY_LIFETIME_MS = 600
const RESTART_MS = 1_500
const TIMEOUT_MS = 6_000

const ROUTE = createRoute('draft', { route_type: 'stream', service: ENGINES, resumable: false, max_attempts: 1, gap_target_ms: 300, timeout_ms: TIMEOUT_MS })

const startNode = async (platform: PlatformStandIn, index: number, seeds: readonly GatewayProcess[], isFirstStart: boolean): Promise<GatewayProcess> => {
  const node = await startGatewayProcess({
    name: `node-${index}`,
    store: platform.store.address(),
    seeds: seeds.map(({ peerAddress }) => peerAddress),
    fields: { bootstrap: String(isFirstStart), zone: ZONES[index % ZONES.length]!, ...Object.fromEntries(ZONES.map((zone) => [`zones.${zone}`, 'region'])) }
  })
  const { host, port } = node.readinessAddress
  await waitFor(`node-${index} to be ready`, async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
  return node
}

const countPeers = ({ lines }: GatewayProcess): number =>
  new Set(lines.filter(({ message, state }) => message === 'member changed' && state === 'live').map(({ member }) => member)).size

/** Starts the platform and the nodes, and waits until all nodes know each other. */
export const startEndingServers = async ({ nodes: nodeCount, servers, hasPeers = true }: EndingServersOptions): Promise<EndingServers> => {
  const timers = new Set<NodeJS.Timeout>()
  const running: string[] = []
  let started = 0
  let ends = 0
  let isClosed = false

  const later = (delayMs: number, action: () => void): void => {
    const timer = setTimeout(() => {
      timers.delete(timer)
      if (!isClosed) action()
    }, delayMs)
    timers.add(timer)
  }

  const createEngine = (): BackendStandInOptions => {
    const id = `engine-${++started}`
    running.push(id)
    return {
      id,
      events: EVENTS,
      workMs: EVENT_MS,
      endsOnPart: HARMFUL_PART,
      onEnd: () => {
        if (isClosed) return
        ends += 1
        running.splice(running.indexOf(id), 1)
        later(ENTRY_LIFETIME_MS, () => platform.store.remove('servers', id))
        later(RESTART_MS, () => { platform.addBackend(ENGINES, createEngine(), { zone: ZONES[started % ZONES.length] }) })
      }
    }
  }

  const engines = Array.from({ length: servers }, createEngine)
  const entries = Object.fromEntries(engines.map(({ id }, index) => [id, { zone: ZONES[index % ZONES.length] }]))
  const platform = await createPlatform({ routes: [ROUTE], engines, entries })
  const nodes: GatewayProcess[] = []
  for (let index = 0; index < nodeCount; index++) nodes.push(await startNode(platform, index, hasPeers ? nodes : [], true))
  if (hasPeers) await waitFor('all nodes to know each other', () => nodes.every((node) => countPeers(node) === nodeCount - 1))

  return {
    platform,
    nodes,
    restart: async (index) => {
      nodes[index]!.signal('SIGKILL')
      await nodes[index]!.ended
      nodes[index] = await startNode(platform, index, hasPeers ? nodes.filter((_, other) => other !== index) : [], false)
    },
    endOldest: () => platform.backends.get(running[0]!)?.end(),
    countEnds: () => ends,
    countHarmful: () => [...platform.backends.values()].flatMap((backend) => backend.records()).filter(({ headers }) => headers['x-prompt-prefix']?.includes(HARMFUL_PART) === true).length,
    close: async () => {
      isClosed = true
      for (const timer of timers) clearTimeout(timer)
      await Promise.all(nodes.map((node) => node.close()))
      await platform.close()
    }
  }
}

const callOnce = async (fleet: EndingServers, index: number, isHarmful: boolean): Promise<Answer> => {
  const startedAt = performance.now()
  const requestId = nextRequestId()
  const document = isHarmful ? HARMFUL_PART : `d${index % DOCUMENTS}`
  const node = fleet.nodes[index % fleet.nodes.length]!
  const result = await callGateway(node.callerAddress, {
    path: '/draft/1',
    body: 'hello',
    requestId,
    timeoutMs: TIMEOUT_MS,
    headers: { 'X-Model': 'm', 'X-Token-Count': '400,20', 'X-Prompt-Prefix': `${COMMON_PART}:100,${document}:200,${requestId}:100` }
  })
  return { ...result, isHarmful, startedAt }
}

/** Calls the nodes in turn, at even intervals, and resolves once each call has ended. */
export const callInTurn = async (fleet: EndingServers, { durationMs, soundPerSecond, harmfulPerSecond }: TrafficOptions): Promise<readonly Answer[]> => {
  const calls: Promise<Answer>[] = []
  const send = async (perSecond: number, isHarmful: boolean): Promise<void> => {
    for (let index = 0; index < perSecond * durationMs / 1_000; index++) {
      calls.push(callOnce(fleet, index, isHarmful))
      await pause(1_000 / perSecond)
    }
  }
  await Promise.all([send(soundPerSecond, false), ...(harmfulPerSecond > 0 ? [send(harmfulPerSecond, true)] : [])])
  return await Promise.all(calls)
}

/** Share of the sound requests with a complete answer at the first attempt. */
export const computeServedShare = (answers: readonly Answer[]): number => {
  const sound = answers.filter(({ isHarmful }) => !isHarmful)
  return sound.filter(({ status, isComplete }) => status === 200 && isComplete).length / sound.length
}
