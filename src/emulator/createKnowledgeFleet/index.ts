/**
 * Gateway nodes on one manual clock, over a source whose newest version is
 * known at every moment: for what nodes may believe, in interleavings by the
 * hundred. No sockets; peers talk over the memory network.
 */
import { createManualClock, type ManualClock } from '../createManualClock/index.js'
import { createMemoryPeerNetwork, type MemoryPeerNetwork, type MemoryPeerTransport } from '../createMemoryPeerNetwork/index.js'
import { failure, success } from '../../kernel/index.js'
import { createGatewayNode, type GatewayNode } from '../../node/createGatewayNode/index.js'
import type {
  BackendInstance, Clock, ConfigurationRecords, ConfigurationSource, GatewayConfiguration, InstanceClient, InstanceSource, Logger, Metrics, PeerAddress, Result,
  SourcedConfiguration, SourceError, ZoneDrainSource
} from '../../types/index.js'

export type KnowledgeFleetOptions = {
  readonly nodesPerZone: number
  readonly zones?: number
  /** A number in [0, 1) per call. */
  readonly random: () => number
  /** Routes in each configuration, of which the last differs from one version to the next; none by default. */
  readonly routes?: number
}

export type KnowledgeFleet = {
  readonly clock: ManualClock
  readonly network: MemoryPeerNetwork
  readonly nodes: readonly GatewayNode[]
  readonly addressOf: (index: number) => PeerAddress
  readonly start: () => Promise<void>
  readonly stop: () => Promise<void>
  /** Ends a node at once and starts it anew, with nothing kept. */
  readonly restart: (index: number) => Promise<void>
  /** Puts the next version in the source. */
  readonly applyVersion: () => void
  readonly putInstance: (id: string, changes?: Partial<BackendInstance>) => void
  readonly removeInstance: (id: string) => void
  readonly beginDrain: (zone: string) => void
  readonly endDrain: (zone: string) => void
  /** The version that was the newest at a moment of the clock. */
  readonly newestAt: (at: number) => number
  /** Whether a node reaches the source. */
  readonly setReached: (index: number, isReached: boolean) => void
  /** Calls to the source since the start. */
  readonly countCalls: () => number
  /** What each node sent its peers since the start. */
  readonly transports: readonly MemoryPeerTransport[]
}

const SILENT_LOGGER: Logger = { error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined }
const NO_METRICS: Metrics = { count: () => undefined, observe: () => undefined, readGauge: () => undefined }
const NO_CLIENT: InstanceClient = {
  send: () => ({ abort: () => undefined, pause: () => undefined, resume: () => undefined }),
  probe: async () => true,
  retain: () => undefined,
  close: () => undefined
}
const SOURCE_DELAY_MS = 4
const UNREACHED_MS = 500

const createConfiguration = (version: number): GatewayConfiguration => ({
  version,
  routes: [],
  services: new Map(),
  limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  needsKeys: false,
  accountsByKey: new Map()
})

type RouteRecord = { readonly name: string, readonly host: string, readonly version: number }

const createRoute = (place: number, version: number): RouteRecord => ({ name: `route-${place}`, host: `${place}.shop.example`, version })

/** Sourced configurations whose unchanged records are the same objects, as a source gives them. */
const createSourcing = (routes: number) => {
  const known = new Map<string, RouteRecord>()

  const intern = (record: RouteRecord): RouteRecord => {
    const key = `${record.name} ${record.version}`
    const earlier = known.get(key) ?? record
    known.set(key, earlier)
    return earlier
  }

  const listRoutes = (version: number): readonly RouteRecord[] =>
    Array.from({ length: routes }, (_, place) => intern(createRoute(place, place === routes - 1 ? version : 0)))

  return {
    read: (version: number): SourcedConfiguration => ({ configuration: createConfiguration(version), records: { rest: [version], routes: listRoutes(version) }, revision: version }),
    decode: (records: ConfigurationRecords, revision: number): SourcedConfiguration =>
      ({ configuration: createConfiguration(Number(records['rest']?.[0])), records: { ...records, routes: (records['routes'] as readonly RouteRecord[]).map(intern) }, revision })
  }
}

const createInstance = (id: string, changes: Partial<BackendInstance>): BackendInstance => ({
  id, service: 'engines', address: { host: id, port: 1 }, availabilityZone: 'zone-0', slots: 8, isLeaving: false, incarnation: 1, warmUpMs: 0, ...changes
})

const wait = (clock: Clock, ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

/** Creates the fleet; nothing runs before `start`. */
export const createKnowledgeFleet = (options: KnowledgeFleetOptions): KnowledgeFleet => {
  const clock = createManualClock()
  const network = createMemoryPeerNetwork({ clock, delayMs: () => 5 })
  const versions: { readonly at: number, readonly version: number }[] = [{ at: -Infinity, version: 1 }]
  const instances = new Map<string, BackendInstance>()
  const history: { readonly revision: number, readonly name: string }[] = []
  const drained = new Set<string>()
  const drainHistory: { readonly revision: number, readonly zone: string, readonly isEnded: boolean }[] = []
  const unreached = new Set<number>()
  const transports: MemoryPeerTransport[] = []
  let revision = 1
  let calls = 0

  const newestAt = (at: number): number => versions.findLast((entry) => entry.at <= at)?.version ?? 0

  const change = (name: string): void => {
    revision += 1
    history.push({ revision, name })
  }

  /** A reply shows the source at the middle of its way. */
  const call = async <Value>(index: number, read: () => Value): Promise<Result<Value, SourceError>> => {
    calls += 1
    await wait(clock, SOURCE_DELAY_MS / 2)
    if (unreached.has(index)) {
      await wait(clock, UNREACHED_MS)
      return failure({ kind: 'unavailable', message: 'cut off' })
    }
    const value = read()
    await wait(clock, SOURCE_DELAY_MS / 2)
    return success(value)
  }

  const createConfigurationSource = (index: number): ConfigurationSource => {
    const sourcing = createSourcing(options.routes ?? 0)
    return {
      read: () => call(index, () => sourcing.read(newestAt(clock.now()))),
      decode: (records, configurationRevision) => success(sourcing.decode(records, configurationRevision))
    }
  }

  const createInstanceSource = (index: number): InstanceSource => ({
    list: () => call(index, () => ({ entries: [...instances.values()].map((instance) => ({ name: instance.id, instance })), revision })),
    watch: async (since, waitMs) => {
      const endsAt = clock.now() + waitMs
      calls += 1
      while (clock.now() < endsAt) {
        if (unreached.has(index)) {
          await wait(clock, UNREACHED_MS)
          return failure({ kind: 'unavailable', message: 'cut off' })
        }
        const changed = new Set(history.filter((entry) => entry.revision > since).map(({ name }) => name))
        if (changed.size > 0) {
          const changes = [...changed].map((name) => {
            const instance = instances.get(name)
            return { name, isRemoved: instance === undefined, ...(instance === undefined ? {} : { instance }) }
          })
          return success({ changes, revision })
        }
        await wait(clock, 10)
      }
      return success({ changes: [], revision })
    }
  })

  const createZoneDrainSource = (index: number): ZoneDrainSource => ({
    list: () => call(index, () => ({ zones: [...drained], revision })),
    watch: async (since, waitMs) => {
      const endsAt = clock.now() + waitMs
      calls += 1
      while (clock.now() < endsAt && !unreached.has(index) && !drainHistory.some((entry) => entry.revision > since)) await wait(clock, 10)
      if (!unreached.has(index)) return success({ changes: drainHistory.filter((entry) => entry.revision > since), revision })
      await wait(clock, UNREACHED_MS)
      return failure({ kind: 'unavailable', message: 'cut off' })
    }
  })

  const changeDrain = (zone: string, isEnded: boolean): void => {
    revision += 1
    if (isEnded) drained.delete(zone)
    else drained.add(zone)
    drainHistory.push({ revision, zone, isEnded })
  }

  const addressOf = (index: number): PeerAddress => ({ host: `node-${String(index).padStart(3, '0')}`, port: 1 })

  const createNode = (index: number): GatewayNode => {
    const address = addressOf(index)
    const transport = network.createTransport(address)
    transports[index] = transport
    return createGatewayNode({
      settings: {
        nodeId: address.host,
        availabilityZone: `zone-${index % (options.zones ?? 1)}`,
        callerAddress: address,
        readinessAddress: address,
        metricsAddress: undefined,
        peerAddress: address,
        seedPeers: [0, 1, 2].filter((seed) => seed !== index).map(addressOf),
        fleetKey: 'fleet',
        isFirstStart: true,
        graceMs: 4_000,
        keyRevocationMs: 5_000,
        configurationDelayMs: 2_000,
        serverDrainMs: 2_000,
        repeatRatio: 0.2,
        repeatExtra: 50,
        repeatWindowMs: 10_000,
        loadFactor: 2,
        logLevel: 'info'
      },
      clock,
      random: { next: options.random, nextId: () => String(options.random()) },
      clocks: { monotonic: clock.now, wall: clock.now, boot: clock.now },
      transport,
      configurationSource: createConfigurationSource(index),
      instanceSource: createInstanceSource(index),
      zoneDrainSource: createZoneDrainSource(index),
      client: NO_CLIENT,
      engineMemory: { list: async () => success([]) },
      logger: SILENT_LOGGER,
      metrics: NO_METRICS
    })
  }

  const nodes = Array.from({ length: options.nodesPerZone * (options.zones ?? 1) }, (_, index) => createNode(index))

  return {
    clock,
    network,
    nodes,
    addressOf,
    start: async () => { for (const node of nodes) await node.start() },
    stop: async () => { for (const node of nodes) await node.stop() },
    restart: async (index) => {
      await nodes[index]!.stop()
      await transports[index]!.close()
      nodes[index] = createNode(index)
      await nodes[index]!.start()
    },
    applyVersion: () => { versions.push({ at: clock.now(), version: newestAt(clock.now()) + 3 }) },
    putInstance: (id, changes = {}) => {
      instances.set(id, createInstance(id, changes))
      change(id)
    },
    removeInstance: (id) => {
      instances.delete(id)
      change(id)
    },
    beginDrain: (zone) => changeDrain(zone, false),
    endDrain: (zone) => changeDrain(zone, true),
    newestAt,
    setReached: (index, isReached) => {
      if (isReached) unreached.delete(index)
      else unreached.add(index)
    },
    countCalls: () => calls,
    transports
  }
}
