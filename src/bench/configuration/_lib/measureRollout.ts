/**
 * Measures how a configuration change spreads over a fleet. The membership and
 * configuration services are the real ones; clock, network and platform are in memory.
 */
import { createSeededRandom } from '../../../adapters/seededRandom/index.js'
import { createManualClock, type ManualClock } from '../../../emulator/createManualClock/index.js'
import { createMemoryPeerNetwork, type MemoryPeerTransport } from '../../../emulator/createMemoryPeerNetwork/index.js'
import { createMemoryPlatform } from '../../../emulator/createMemoryPlatform/index.js'
import { computeSha256 } from '../../../kernel/index.js'
import { createAuditTrail } from '../../../services/auditTrail/index.js'
import { createConfiguration } from '../../../services/configuration/index.js'
import { createConfigurationStore } from '../../../services/configurationStore/index.js'
import { createHeartbeatExchange } from '../../../services/heartbeatExchange/index.js'
import { createMembership } from '../../../services/membership/index.js'
import { routerSettingDefinitions } from '../../../settings/index.js'
import type { ConfigurationHolder, Logger, Platform, Vm } from '../../../types/index.js'
import { createBenchSheet } from './createBenchSheet.js'

export type RolloutMeasurement = {
  readonly nodes: number
  readonly zones: number
  /** Milliseconds on the manual clock from acceptance of the change until each node has it in force, sorted. */
  readonly delaysMs: readonly number[]
  /** Calls of all nodes to the platform because of the change, by kind. */
  readonly rootReads: number
  readonly chunkReads: number
  readonly watchers: number
  /** Calls per second of all nodes while nothing changes; an open watch counts each time it is renewed. */
  readonly steadyCallsPerSecond: number
}

export type RolloutOptions = { readonly nodes: number, readonly zones: number, readonly seed: number }

/** Longer than a watch, so that nodes that do not need a watch have ended theirs. */
const SETTLING_MS = 35_000
const STEADY_MS = 30_000
const STEP_MS = 20
const ROLLOUT_TIMEOUT_MS = 30_000
const ACCOUNTS = 50
const ONE_WAY_DELAY_MS = 0.25
const ZONE_DELAY_MS = 5

const readDefault = (name: 'heartbeatIntervalMs' | 'suspectAfterMs' | 'deadAfterMs' | 'watchTimeoutMs' | 'peerTimeoutMs'): number =>
  Number(routerSettingDefinitions.find((definition) => definition.name === name)?.defaultText)

const HEARTBEAT = { heartbeatIntervalMs: readDefault('heartbeatIntervalMs'), suspectAfterMs: readDefault('suspectAfterMs'), deadAfterMs: readDefault('deadAfterMs') }
const TIMES = { watchTimeoutMs: readDefault('watchTimeoutMs'), peerTimeoutMs: readDefault('peerTimeoutMs') }

const silentLogger: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

type CallCounts = Map<string, number>

const countCalls = (platform: Platform, counts: CallCounts): Platform => {
  const count = (kind: string): void => { counts.set(kind, (counts.get(kind) ?? 0) + 1) }
  return {
    ...platform,
    readObject: (name) => {
      count(name === 'configuration/root' ? 'rootRead' : 'chunkRead')
      return platform.readObject(name)
    },
    listObjects: (prefix, options) => {
      count('list')
      return platform.listObjects(prefix, options)
    },
    watchObjects: (prefix, revision, timeoutMs) => {
      count('watch')
      return platform.watchObjects(prefix, revision, timeoutMs)
    }
  }
}

type Fleet = { readonly clock: ManualClock, readonly platform: Platform, readonly counts: CallCounts, readonly holders: readonly ConfigurationHolder[] }

const createFleet = async ({ nodes, zones, seed }: RolloutOptions): Promise<Fleet> => {
  const clock = createManualClock()
  const counts: CallCounts = new Map()
  const platform = createMemoryPlatform(clock)
  const zoneOf = (host: string): number => Number(host.slice('node-'.length)) % zones
  const network = createMemoryPeerNetwork({ clock, delayMs: (from, to) => zoneOf(from.host) === zoneOf(to.host) ? ONE_WAY_DELAY_MS : ZONE_DELAY_MS })
  const vms: readonly Vm[] = Array.from({ length: nodes }, (_, index) => ({ name: `vm-${index}`, kind: 'router', address: `node-${index}:1`, availabilityZone: `zone-${index % zones}`, state: 'live' }))
  const counted = countCalls(platform, counts)
  const holders = vms.map((_, index) => startNode({ clock, platform: counted, transport: network.createTransport({ host: `node-${index}`, port: 1 }), vms, index, zones, seed }))
  await clock.advanceAndSettle(SETTLING_MS)
  return { clock, platform, counts, holders }
}

type NodeParts = {
  readonly clock: ManualClock
  readonly platform: Platform
  readonly transport: MemoryPeerTransport
  readonly vms: readonly Vm[]
  readonly index: number
  readonly zones: number
  readonly seed: number
}

const startNode = ({ clock, platform, transport, vms, index, zones, seed }: NodeParts): ConfigurationHolder => {
  const random = createSeededRandom(seed * 1_000 + index)
  const exchange = createHeartbeatExchange()
  const place = { nodeId: `node-${index}`, availabilityZone: `zone-${index % zones}` }
  const vmList = { current: () => vms, onRead: () => {} }
  const membership = createMembership(
    { clock, random, transport, exchange, vmList },
    { settings: { ...place, ...HEARTBEAT, seedPeers: [] }, address: transport.address, generation: () => configuration.api.generation() }
  )
  const configuration = createConfiguration({
    platform,
    peerTransport: transport,
    peers: membership.api.members,
    onPeerChange: (listener) => exchange.addListener(() => listener()),
    clock,
    random,
    logger: silentLogger,
    hashContent: computeSha256
  }, { ...place, ...TIMES })
  // Nodes of a real fleet do not start at the same instant.
  clock.setTimer(random.next() * HEARTBEAT.heartbeatIntervalMs, () => {
    membership.start?.()
    configuration.start?.()
  })
  return configuration.api
}

const applyChange = async ({ clock, platform }: Fleet, weight: number, against: number): Promise<void> => {
  const store = createConfigurationStore({ platform, auditTrail: createAuditTrail(platform), clock, random: createSeededRandom(weight), hashContent: computeSha256 })
  const outcome = await store.applySheet({ sheet: createBenchSheet(ACCOUNTS, weight), plannedAgainst: against, appliedBy: 'bench', applyId: `bench-${weight}`, action: 'sheet apply' })
  if (outcome.kind !== 'applied') throw new Error(`the benchmark sheet was not applied: ${outcome.kind}`)
}

/** Runs the clock until every node has the generation in force, and returns the delay of each in milliseconds. */
const waitForGeneration = async ({ clock, holders }: Fleet, generation: number): Promise<readonly number[]> => {
  const startedAt = clock.now()
  const delays = new Map<number, number>()
  while (delays.size < holders.length && clock.now() - startedAt < ROLLOUT_TIMEOUT_MS) {
    await clock.advanceAndSettle(STEP_MS)
    holders.forEach((holder, index) => { if (holder.generation() >= generation && !delays.has(index)) delays.set(index, clock.now() - startedAt) })
  }
  if (delays.size < holders.length) throw new Error(`generation ${generation} reached only ${delays.size} of ${holders.length} nodes`)
  return [...delays.values()].sort((one, other) => one - other)
}

const sumCounts = (counts: CallCounts): number => [...counts.values()].reduce((sum, count) => sum + count, 0)

export const measureRollout = async (options: RolloutOptions): Promise<RolloutMeasurement> => {
  const fleet = await createFleet(options)
  const { clock, counts } = fleet
  await applyChange(fleet, 1, 0)
  await waitForGeneration(fleet, 1)
  counts.clear()
  await clock.advanceAndSettle(STEADY_MS)
  const steadyCallsPerSecond = sumCounts(counts) / (STEADY_MS / 1_000)
  counts.clear()
  await applyChange(fleet, 2, 1)
  const delaysMs = await waitForGeneration(fleet, 2)
  const read = (kind: string): number => counts.get(kind) ?? 0
  return { nodes: options.nodes, zones: options.zones, delaysMs, rootReads: read('rootRead'), chunkReads: read('chunkRead'), watchers: read('watch'), steadyCallsPerSecond }
}
