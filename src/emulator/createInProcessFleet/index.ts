/**
 * Runs gateway nodes in one process on one manual clock, with a source that
 * records which version was the newest at every time. Tests compare the view of
 * the nodes with it in hundreds of interleavings. There are no sockets; peers
 * use the network in memory.
 */
import { createFleetSource, type FleetSource } from './_lib/createFleetSource.js'
import { composeGatewaySettings } from '../composeGatewaySettings/index.js'
import { createManualClock, type ManualClock } from '../createManualClock/index.js'
import { createMemoryPeerNetwork, type MemoryPeerNetwork, type MemoryPeerTransport } from '../createMemoryPeerNetwork/index.js'
import { createMemoryRelay } from '../createMemoryRelay/index.js'
import { success } from '../../kernel/index.js'
import { createGatewayNode, type GatewayNode } from '../../node/createGatewayNode/index.js'
import type { GatewayConfiguration, GatewayRoute, GatewaySettings, InstanceClient, Logger, Metrics, PeerAddress } from '../../types/index.js'

export type InProcessFleetOptions = {
  readonly nodesPerZone: number
  readonly zones?: number
  /** Milliseconds by which a node's wall clock is ahead; 0 by default. */
  readonly wallOffsetMs?: (node: number) => number
  /** Returns a number in [0, 1). */
  readonly random: () => number
  /** Creates the client through which a node reaches backend servers; by default nothing answers. */
  readonly createClient?: (node: number) => InstanceClient
  /** Whether requests of peers pass between two nodes now; they always do by default. */
  readonly isLinked?: (node: number, other: number) => boolean
  /** Routes on which the nodes forward requests; none by default. */
  readonly gatewayRoutes?: readonly GatewayRoute[]
  /** Services, client accounts and other parts of the configuration that differ from an empty one. */
  readonly gatewayConfiguration?: Partial<GatewayConfiguration>
  /** Settings of all nodes that differ from those of a small deployment. */
  readonly settings?: Partial<GatewaySettings>
  /** Clock that the fleet shares with its backend servers; a new one by default. */
  readonly clock?: ManualClock
  /** Number of routes in each configuration, of which the last one changes with each version; 0 by default. */
  readonly routes?: number
}

export type InProcessFleet = Omit<FleetSource, 'connect'> & {
  readonly clock: ManualClock
  readonly network: MemoryPeerNetwork
  readonly nodes: readonly GatewayNode[]
  readonly addressOf: (index: number) => PeerAddress
  readonly start: () => Promise<void>
  readonly stop: () => Promise<void>
  /** Stops a node and starts a new one at its address, with no state kept. */
  readonly restart: (index: number) => Promise<void>
  /** Peer transport of each node, which counts what it has sent. */
  readonly transports: readonly MemoryPeerTransport[]
}

/** One-way delay of requests between nodes in milliseconds. */
const RELAY_DELAY_MS = 5

const SILENT_LOGGER: Logger = { error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined }
const NO_METRICS: Metrics = { count: () => undefined, observe: () => undefined, readGauge: () => undefined }
const NO_CLIENT: InstanceClient = {
  send: () => ({ abort: () => undefined, pause: () => undefined, resume: () => undefined }),
  probe: async () => true,
  retain: () => undefined,
  close: () => undefined
}

/** Creates the fleet; its nodes do not run before `start`. */
export const createInProcessFleet = (options: InProcessFleetOptions): InProcessFleet => {
  const clock = options.clock ?? createManualClock()
  const network = createMemoryPeerNetwork({ clock, delayMs: () => 5 })
  const source = createFleetSource(clock, options.routes ?? 0, { ...options.gatewayConfiguration, routes: options.gatewayRoutes ?? [] })
  const transports: MemoryPeerTransport[] = []

  const addressOf = (index: number): PeerAddress => ({ host: `node-${String(index).padStart(3, '0')}`, port: 1 })

  const findPeer = (index: number, nodeId: string) => {
    const other = nodes.findIndex((_node, at) => addressOf(at).host === nodeId)
    return other >= 0 && (options.isLinked?.(index, other) ?? true) ? nodes[other]!.resolve('forwarding') : undefined
  }

  const createNode = (index: number): GatewayNode => {
    const address = addressOf(index)
    const transport = network.createTransport(address)
    transports[index] = transport
    return createGatewayNode({
      settings: composeGatewaySettings(address.host, {
        availabilityZone: `zone-${index % (options.zones ?? 1)}`,
        callerAddress: address,
        readinessAddress: address,
        peerAddress: address,
        seedPeers: [0, 1, 2].filter((seed) => seed !== index).map(addressOf),
        ...options.settings
      }),
      clock: { ...clock, wallTime: () => clock.wallTime() + (options.wallOffsetMs?.(index) ?? 0) },
      random: { next: options.random, nextId: () => String(options.random()) },
      clocks: { monotonic: clock.now, wall: clock.now, boot: clock.now },
      transport,
      ...source.connect(index),
      client: options.createClient?.(index) ?? NO_CLIENT,
      relayClient: createMemoryRelay({ clock, delayMs: RELAY_DELAY_MS, find: (nodeId) => findPeer(index, nodeId) }),
      promptCacheSource: { list: async () => success([]) },
      logger: SILENT_LOGGER,
      metrics: NO_METRICS
    })
  }

  const nodes: GatewayNode[] = Array.from({ length: options.nodesPerZone * (options.zones ?? 1) }, (_, index) => createNode(index))

  return {
    ...source,
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
    transports
  }
}
