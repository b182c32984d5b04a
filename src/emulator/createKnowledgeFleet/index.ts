/**
 * Gateway nodes on one manual clock, over a source whose newest version is
 * known at every moment: for what nodes may believe, in interleavings by the
 * hundred. No sockets; peers talk over the memory network.
 */
import { createKnowledgeSource, type KnowledgeSource } from './_lib/createKnowledgeSource.js'
import { composeGatewaySettings } from '../composeGatewaySettings/index.js'
import { createManualClock, type ManualClock } from '../createManualClock/index.js'
import { createMemoryPeerNetwork, type MemoryPeerNetwork, type MemoryPeerTransport } from '../createMemoryPeerNetwork/index.js'
import { success } from '../../kernel/index.js'
import { createGatewayNode, type GatewayNode } from '../../node/createGatewayNode/index.js'
import type { InstanceClient, Logger, Metrics, PeerAddress } from '../../types/index.js'

export type KnowledgeFleetOptions = {
  readonly nodesPerZone: number
  readonly zones?: number
  /** A number in [0, 1) per call. */
  readonly random: () => number
  /** Routes in each configuration, of which the last differs from one version to the next; none by default. */
  readonly routes?: number
}

export type KnowledgeFleet = Omit<KnowledgeSource, 'connect'> & {
  readonly clock: ManualClock
  readonly network: MemoryPeerNetwork
  readonly nodes: readonly GatewayNode[]
  readonly addressOf: (index: number) => PeerAddress
  readonly start: () => Promise<void>
  readonly stop: () => Promise<void>
  /** Ends a node at once and starts it anew, with nothing kept. */
  readonly restart: (index: number) => Promise<void>
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

/** Creates the fleet; nothing runs before `start`. */
export const createKnowledgeFleet = (options: KnowledgeFleetOptions): KnowledgeFleet => {
  const clock = createManualClock()
  const network = createMemoryPeerNetwork({ clock, delayMs: () => 5 })
  const source = createKnowledgeSource(clock, options.routes ?? 0)
  const transports: MemoryPeerTransport[] = []

  const addressOf = (index: number): PeerAddress => ({ host: `node-${String(index).padStart(3, '0')}`, port: 1 })

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
        seedPeers: [0, 1, 2].filter((seed) => seed !== index).map(addressOf)
      }),
      clock,
      random: { next: options.random, nextId: () => String(options.random()) },
      clocks: { monotonic: clock.now, wall: clock.now, boot: clock.now },
      transport,
      ...source.connect(index),
      client: NO_CLIENT,
      promptCacheSource: { list: async () => success([]) },
      logger: SILENT_LOGGER,
      metrics: NO_METRICS
    })
  }

  const nodes = Array.from({ length: options.nodesPerZone * (options.zones ?? 1) }, (_, index) => createNode(index))

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
