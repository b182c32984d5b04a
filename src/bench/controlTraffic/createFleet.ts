/**
 * Creates a fleet of routers in one process: their membership, load exchange,
 * backend health and chat directory, on one manual clock and a network in memory.
 */
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import type { ManualClock } from '../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork } from '../../emulator/createMemoryPeerNetwork/index.js'
import type { MemoryPeerTransport } from '../../emulator/createMemoryPeerNetwork/index.js'
import { success } from '../../kernel/index.js'
import { createBackendHealth } from '../../services/backendHealth/index.js'
import { createChatDirectory } from '../../services/chatDirectory/index.js'
import { createFleetLoad } from '../../services/fleetLoad/index.js'
import { createHeartbeatExchange } from '../../services/heartbeatExchange/index.js'
import { createLoadView } from '../../services/loadView/index.js'
import type { RunningLoadView } from '../../services/loadView/index.js'
import { createMembership, DEFAULT_FAN_OUT } from '../../services/membership/index.js'
import type { BackendHealth, BackendServer, ChatDirectory, Configuration, LoadView, Membership, PeerAddress, RandomSource } from '../../types/index.js'

export type FleetSize = { readonly nodes: number, readonly servers: number, readonly zones: number }

export type FleetNode = {
  readonly name: string
  readonly membership: Membership
  readonly loadView: LoadView
  readonly backendHealth: BackendHealth
  readonly chatDirectory: ChatDirectory
  readonly transport: MemoryPeerTransport
  readonly readProbes: () => number
  readonly stop: () => Promise<void>
}

export type Fleet = {
  readonly clock: ManualClock
  readonly random: RandomSource
  readonly servers: readonly BackendServer[]
  readonly nodes: readonly FleetNode[]
  readonly startNode: (index: number) => FleetNode
  /** Exact number of requests in flight on a server, over all nodes. */
  readonly countExactInFlight: (backendServer: string) => number
}

/** Small, because the directory allocates its memory at the start: 360 directories of the usual size would not fit in one process. */
const DIRECTORY_ENTRIES = 1000
const SETTINGS = { heartbeatIntervalMs: 500, suspectAfterMs: 1500, deadAfterMs: 4000, loadReportIntervalMs: 1000, connectTimeoutMs: 1000, peerTimeoutMs: 250, directoryEntries: DIRECTORY_ENTRIES, directoryTtlMs: 7_200_000 }
const SEED_COUNT = 3
const SLOTS = 64
const NEAR_DELAY_MS = 1
const FAR_DELAY_MS = 5

const zoneName = (index: number, zones: number): string => `zone-${index % zones}`

const addressOf = (index: number): PeerAddress => ({ host: `10.0.${Math.floor(index / 200)}.${index % 200}`, port: 8082 })

const createConfiguration = ({ servers, zones }: FleetSize): Configuration => {
  const backendServers = Array.from({ length: servers }, (_, index): BackendServer => ({
    name: `engine-${index}`, service: `model-${index % Math.ceil(servers / 18)}`, url: `http://engine-${index}`, availabilityZone: zoneName(index, zones), slots: SLOTS
  }))
  return { generation: 1, appliedBy: 'bench', appliedAt: 0, applyId: 'bench', sheet: { clientAccounts: [], services: [], routes: [], plannedStops: [], backendServers } }
}

export const createFleet = (size: FleetSize, seed: number): Fleet => {
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const configuration = createConfiguration(size)
  const zoneByHost = new Map(Array.from({ length: size.nodes + 1 }, (_, index) => [addressOf(index).host, zoneName(index, size.zones)]))
  const network = createMemoryPeerNetwork({
    clock,
    delayMs: (from, to) => zoneByHost.get(from.host) === zoneByHost.get(to.host) ? NEAR_DELAY_MS : FAR_DELAY_MS
  })
  const nodes: FleetNode[] = []
  const countExactInFlight = (backendServer: string): number => nodes.reduce((sum, node) => sum + node.loadView.ownInFlight(backendServer), 0)

  const startNode = (index: number): FleetNode => {
    const name = `node-${index}`
    const nodeRandom = createSeededRandom(seed + index + 1)
    const transport = network.createTransport(addressOf(index))
    const exchange = createHeartbeatExchange()
    const vmList = { current: () => undefined, onRead: () => {} }
    const holder = { current: () => configuration, onChange: () => {} }
    const seedPeers = Array.from({ length: SEED_COUNT }, (_, place) => addressOf(place))
    const settings = { ...SETTINGS, nodeId: name, availabilityZone: zoneName(index, size.zones), seedPeers }
    const membership = createMembership({ clock, random: nodeRandom, transport, exchange, vmList }, { settings, address: transport.address, generation: () => 1 })
    // The load view and the load exchange of a large fleet depend on each other, so the exchange reads the view through a function.
    const readCounts = (): ReadonlyMap<string, number> => loadView.readPublishedCounts()
    const fleetLoad = createFleetLoad({ clock, transport, membership: membership.api, readServers: () => holder.current()?.sheet.backendServers ?? [], readCounts }, { fullMeshPeers: DEFAULT_FAN_OUT.fullMeshPeers })
    const loadView: RunningLoadView = createLoadView({ clock, transport, membership: membership.api, exchange, fleetLoad: fleetLoad.api }, { settings })
    let probes = 0
    const backendClient = {
      readLoad: async (url: string) => {
        probes += 1
        return success({ running: countExactInFlight(url.slice('http://'.length)), waiting: 0, slots: SLOTS, leaving: false, ageMs: 0 })
      }
    }
    const backendHealth = createBackendHealth(
      { clock, random: nodeRandom, exchange, vmList, configuration: holder, backendClient, membership: membership.api, loadView: loadView.api }, { settings }
    )
    const chatDirectory = createChatDirectory({ clock, transport, membership: membership.api }, { settings })
    const services = [membership, fleetLoad, loadView, backendHealth, chatDirectory]
    for (const service of services) service.start?.()
    const stop = async (): Promise<void> => {
      for (const service of services) await service.stop?.()
      await transport.close()
    }
    const node = { name, membership: membership.api, loadView: loadView.api, backendHealth: backendHealth.api, chatDirectory: chatDirectory.api, transport, readProbes: () => probes, stop }
    nodes.push(node)
    return node
  }

  return { clock, random, servers: configuration.sheet.backendServers, nodes, startNode, countExactInFlight }
}
