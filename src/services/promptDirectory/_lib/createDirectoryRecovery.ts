/**
 * Recovers the prompt directory of a node that has just started. Model engines
 * keep running while nodes restart, and prompts in their caches need not be
 * computed again. The node queries a peer of its zone that has been running. If
 * there is none, the nodes of the zone divide its engines among them, query each
 * engine once and announce the result to all peers: each query delays its engine
 * and takes a small VM some milliseconds.
 */
import { rankMembers } from '../../../decisions/rankMembers/index.js'
import { selectZoneReaders } from '../../../decisions/selectZoneReaders/index.js'
import { describeSourceError } from '../../../decisions/describeSourceError/index.js'
import type { BackendInstance, Clock, PromptCacheSource, InstanceNotice, InstanceRegistry, CachedParts, Logger, Member, Membership, PeerTransport, RandomSource } from '../../../types/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'

export type DirectoryRecoverySources = {
  readonly logger: Logger
  readonly random: RandomSource
  readonly registry: Pick<InstanceRegistry, 'all'>
  /** Whether the list of engines has been read; `onEnginesChange` registers a listener for changes of this state. */
  readonly areEnginesKnown: () => boolean
  readonly onEnginesChange: (listener: () => void) => void
  readonly promptCacheSource: PromptCacheSource
  readonly availabilityZone: string
  /** Whether a backend server is a model engine and so has a prompt cache. */
  readonly isEngine: (instance: BackendInstance) => boolean
  /** Whether the backend server accepts queries of this node now; asked before every query. */
  readonly mayQuery: (instance: BackendInstance) => boolean
  /** Records the notice in an engine's answer to a query. */
  readonly recordNotice: (instance: BackendInstance, notice: InstanceNotice) => void
}

export type DirectoryRecoveryDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'request'>
  readonly membership: Pick<Membership, 'liveMembers' | 'self'>
  readonly recovery: DirectoryRecoverySources
  readonly hasLocations: (instanceKey: string) => boolean
  readonly recordAll: (cachedParts: readonly CachedParts[]) => void
  /** Announces a location to peers. */
  readonly announce: (part: string, instanceKey: string) => void
}

export type DirectoryRecovery = {
  readonly start: () => void
  /** Registers a listener for the end of the first queries. */
  readonly onRecovered: (listener: () => void) => void
  /** Whether recovery is complete: all engines of the zone are covered, except those that did not answer. */
  readonly isWhole: () => boolean
}

/** Delay after the engines are known until, in most starts, the peers of the zone are known too. */
const PEER_DISCOVERY_DELAY_MS = 150
/** Engines without an announcement after this time are queried: the node assigned to them may have started late or not at all. */
const REMAINING_ENGINES_DELAY_MS = 1_000
/** A running peer answers within some milliseconds. */
const PEER_REQUEST_TIMEOUT_MS = 200
/** Maximum random delay before the remaining engines are queried, so that a second node receives the announcements of the first one. */
const MAXIMUM_SPREAD_MS = 600
/** Nodes of a zone that query the remaining engines: the second covers the loss of the first one's announcements. */
const MAXIMUM_QUERYING_NODES = 2

const wait = (clock: Clock, ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

/** Creates the recovery of one node; it runs once `start` is called. */
export const createDirectoryRecovery = (dependencies: DirectoryRecoveryDependencies): DirectoryRecovery => {
  const { clock, transport, membership, recovery, hasLocations, recordAll, announce } = dependencies
  const { registry, logger, random, availabilityZone } = recovery
  const listeners: (() => void)[] = []
  let isWhole = false

  const shuffle = <Item>(items: readonly Item[]): readonly Item[] =>
    items.map((item) => ({ item, order: random.next() })).sort((left, right) => left.order - right.order).map(({ item }) => item)

  const shufflePeers = (): readonly Member[] => {
    const self = membership.self().nodeId
    return shuffle(membership.liveMembers().filter(({ nodeId }) => nodeId !== self))
  }

  const queryPeer = async (peer: Member): Promise<void> => {
    const result = await transport.request(peer.address, { kind: 'promptPlacesRequest' }, PEER_REQUEST_TIMEOUT_MS)
    if (!result.ok || result.value.kind !== 'promptPlaces') return
    recordAll(result.value.places)
    isWhole ||= result.value.isWhole && peer.availabilityZone === availabilityZone
    logger.info('prompt places learnt', { from: peer.nodeId, servers: result.value.places.length, isWhole: result.value.isWhole })
  }

  const queryEngine = async (instance: BackendInstance): Promise<void> => {
    if (!recovery.mayQuery(instance)) return
    const result = await recovery.promptCacheSource.list(instance, (notice) => recovery.recordNotice(instance, notice))
    if (!result.ok) {
      logger.warn('prompt places not learnt', { backendServer: instance.id, reason: describeSourceError(result.error) })
      return
    }
    const server = formatInstanceKey(instance)
    const parts = result.value.map(({ id }) => id)
    logger.info('prompt places learnt', { from: instance.id, places: parts.length })
    recordAll([{ server, parts }])
    for (const part of parts) announce(part, server)
  }

  const listEnginesWithoutLocations = (): readonly BackendInstance[] =>
    registry.all().filter((instance) => recovery.isEngine(instance) && !hasLocations(formatInstanceKey(instance)))

  const listZoneEnginesWithoutLocations = (): readonly BackendInstance[] => listEnginesWithoutLocations().filter((engine) => engine.availabilityZone === availabilityZone)

  const waitForEngines = (): Promise<void> => new Promise((resolve) => {
    if (recovery.areEnginesKnown()) return resolve()
    recovery.onEnginesChange(() => { if (recovery.areEnginesKnown()) resolve() })
  })

  /** Whether this node is the one of its zone that queries the engine; every engine is assigned to one node. */
  const isAssignedToSelf = (engine: BackendInstance, nodes: readonly Member[]): boolean => {
    const [first] = rankMembers(formatInstanceKey(engine), nodes)
    return first?.nodeId === membership.self().nodeId
  }

  const queryAssignedEngines = async (): Promise<void> => {
    const nodes = membership.liveMembers().filter((member) => member.availabilityZone === availabilityZone)
    await Promise.all(listZoneEnginesWithoutLocations().filter((engine) => isAssignedToSelf(engine, nodes)).map(queryEngine))
  }

  const queryRemainingEngines = async (): Promise<void> => {
    const self = membership.self().nodeId
    if (!selectZoneReaders(availabilityZone, membership.liveMembers(), MAXIMUM_QUERYING_NODES).some(({ nodeId }) => nodeId === self)) return
    await wait(clock, MAXIMUM_SPREAD_MS * random.next())
    for (const engine of listZoneEnginesWithoutLocations()) await queryEngine(engine)
  }

  const run = async (): Promise<void> => {
    await waitForEngines()
    await wait(clock, PEER_DISCOVERY_DELAY_MS)
    const peer = shufflePeers().find((member) => member.availabilityZone === availabilityZone)
    if (peer !== undefined) await queryPeer(peer)
    if (!isWhole) await queryAssignedEngines()
    for (const listener of listeners) listener()
    if (!isWhole) await wait(clock, REMAINING_ENGINES_DELAY_MS)
    // A random peer adds the locations that nodes of other zones announced before they knew this node.
    const [other] = shufflePeers()
    if (other !== undefined && listEnginesWithoutLocations().length > 0) await queryPeer(other)
    if (!isWhole) await queryRemainingEngines()
    isWhole = true
  }

  return {
    start: () => { run() },
    onRecovered: (listener) => { listeners.push(listener) },
    isWhole: () => isWhole
  }
}
