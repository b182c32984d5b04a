/** Creates the parts of a router that placement depends on, over a peer network in memory. */
import type { MemoryPeerNetwork } from '../../../emulator/createMemoryPeerNetwork/index.js'
import { createChatDirectory } from '../../../services/chatDirectory/index.js'
import { createFleetLoad } from '../../../services/fleetLoad/index.js'
import { createHeartbeatExchange } from '../../../services/heartbeatExchange/index.js'
import { createLoadView, type RunningLoadView } from '../../../services/loadView/index.js'
import { createMembership, DEFAULT_FAN_OUT } from '../../../services/membership/index.js'
import type { ChatDirectory, Clock, Configuration, LoadView, PeerAddress, RandomSource } from '../../../types/index.js'

export type BenchRouterOptions = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly network: MemoryPeerNetwork
  readonly address: PeerAddress
  readonly availabilityZone: string
  readonly nodeId: string
  readonly seedPeers: readonly PeerAddress[]
  /** Current configuration, with the engines as the sheet would list them. */
  readonly readConfiguration: () => Configuration
  readonly heartbeatIntervalMs?: number
}

export type BenchRouter = {
  readonly loadView: LoadView
  readonly chatDirectory: ChatDirectory
  readonly start: () => Promise<void>
  /** Bytes sent to peers so far, including 40 bytes of TCP and IP headers per message. */
  readonly readControlBytes: () => number
}

const HEADER_BYTES = 40
const DEFAULT_HEARTBEAT_MS = 500

/**
 * Creates a router for the benchmark.
 *
 * @param options - Clock, random source, network, and identity of the node.
 * @returns The router, not yet started.
 */
export const createBenchRouter = (options: BenchRouterOptions): BenchRouter => {
  const { clock, random, network, address, nodeId, availabilityZone, seedPeers } = options
  const settings = {
    nodeId,
    availabilityZone,
    seedPeers,
    heartbeatIntervalMs: options.heartbeatIntervalMs ?? DEFAULT_HEARTBEAT_MS,
    suspectAfterMs: 1_500,
    deadAfterMs: 4_000,
    loadReportIntervalMs: 1_000,
    directoryEntries: 200_000,
    directoryTtlMs: 7_200_000,
    peerTimeoutMs: 250
  }
  const transport = network.createTransport(address)
  const exchange = createHeartbeatExchange()
  const vmList = { current: () => undefined, onRead: () => {} }
  const membership = createMembership({ clock, random, transport, exchange, vmList }, { settings, address: () => address })
  const fleetLoad = createFleetLoad({
    clock,
    transport,
    membership: membership.api,
    readServers: () => options.readConfiguration()?.sheet.backendServers ?? [],
    readCounts: () => loadView.readPublishedCounts()
  }, { fullMeshPeers: DEFAULT_FAN_OUT.fullMeshPeers })
  const loadView: RunningLoadView = createLoadView({ clock, transport, membership: membership.api, exchange, fleetLoad: fleetLoad.api }, { settings })
  const chatDirectory = createChatDirectory({ clock, transport, membership: membership.api }, { settings })
  return {
    loadView: loadView.api,
    chatDirectory: chatDirectory.api,
    start: async () => {
      await chatDirectory.start?.()
      await fleetLoad.start?.()
      await loadView.start?.()
      await membership.start?.()
    },
    readControlBytes: () => [...transport.bytesSent().values()].reduce((sum, bytes) => sum + bytes, 0) + HEADER_BYTES * transport.messagesSent()
  }
}
