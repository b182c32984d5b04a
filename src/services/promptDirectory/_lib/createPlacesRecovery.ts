/**
 * What a node that has just started does to learn where prompts are kept: the
 * engines outlive the nodes, and prompts that they keep need not be read again.
 * It asks a peer of its zone that has been running. Where there is none, the zone's
 * nodes ask its engines, each a part of them, and tell all others: each answer delays
 * its engine and takes a small VM some milliseconds.
 */
import { rankMembers } from '../../../decisions/rankMembers/index.js'
import { selectZoneReaders } from '../../../decisions/selectZoneReaders/index.js'
import { describeSourceError } from '../../../decisions/describeSourceError/index.js'
import type { BackendInstance, Clock, EngineMemorySource, InstanceRegistry, KeptParts, Logger, Member, Membership, PeerTransport, RandomSource } from '../../../types/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'

export type PlacesRecoverySources = {
  readonly logger: Logger
  readonly random: RandomSource
  readonly registry: Pick<InstanceRegistry, 'all'>
  /** Whether the engines are known; `onKnown` is called when that may have changed. */
  readonly areEnginesKnown: () => boolean
  readonly onKnown: (listener: () => void) => void
  readonly memory: EngineMemorySource
  readonly availabilityZone: string
  /** Whether a backend server keeps prompts at all. */
  readonly isEngine: (instance: BackendInstance) => boolean
}

export type PlacesRecoveryDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'request'>
  readonly membership: Pick<Membership, 'liveMembers' | 'self'>
  readonly recovery: PlacesRecoverySources
  readonly isKnown: (instanceKey: string) => boolean
  readonly noteAll: (kept: readonly KeptParts[]) => void
  /** Passes a place on to peers. */
  readonly tell: (part: string, instanceKey: string) => void
}

export type PlacesRecovery = {
  readonly start: () => void
  /** Called when the first answers have come. */
  readonly onLearnt: (listener: () => void) => void
  /** Whether all engines of the zone are known, as far as they answered. */
  readonly isWhole: () => boolean
}

/** Peers of the zone are known so long after the engines are, in most starts. */
const PEERS_KNOWN_MS = 150
/** Engines that nobody told of by then are asked once more; their node may have started later, or not at all. */
const REMAINING_MS = 1_000
/** A peer that runs answers within some milliseconds. */
const ASK_TIMEOUT_MS = 200
/** Nodes of a zone ask its remaining engines at different moments, so that the second hears of it from the first. */
const SPREAD_MS = 600
/** Nodes of a zone that ask the remaining engines: the second does where the first one's news were lost. */
const ASKING_NODES = 2

const wait = (clock: Clock, ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

/** Creates the recovery of one node; it begins with `start`. */
export const createPlacesRecovery = (dependencies: PlacesRecoveryDependencies): PlacesRecovery => {
  const { clock, transport, membership, recovery, isKnown, noteAll, tell } = dependencies
  const { registry, logger, random, availabilityZone } = recovery
  const listeners: (() => void)[] = []
  let isWhole = false

  const shuffle = <Item>(items: readonly Item[]): readonly Item[] =>
    items.map((item) => ({ item, order: random.next() })).sort((left, right) => left.order - right.order).map(({ item }) => item)

  const listPeers = (): readonly Member[] => {
    const self = membership.self().nodeId
    return shuffle(membership.liveMembers().filter(({ nodeId }) => nodeId !== self))
  }

  const askPeer = async (peer: Member): Promise<void> => {
    const result = await transport.request(peer.address, { kind: 'promptPlacesRequest' }, ASK_TIMEOUT_MS)
    if (!result.ok || result.value.kind !== 'promptPlaces') return
    noteAll(result.value.places)
    isWhole ||= result.value.isWhole && peer.availabilityZone === availabilityZone
    logger.info('prompt places learnt', { from: peer.nodeId, servers: result.value.places.length, isWhole: result.value.isWhole })
  }

  const askEngine = async (instance: BackendInstance): Promise<void> => {
    const result = await recovery.memory.list(instance)
    if (!result.ok) {
      logger.warn('prompt places not learnt', { backendServer: instance.id, reason: describeSourceError(result.error) })
      return
    }
    const server = formatInstanceKey(instance)
    const parts = result.value.map(({ id }) => id)
    logger.info('prompt places learnt', { from: instance.id, places: parts.length })
    noteAll([{ server, parts }])
    for (const part of parts) tell(part, server)
  }

  const listUnknownEngines = (): readonly BackendInstance[] =>
    registry.all().filter((instance) => recovery.isEngine(instance) && !isKnown(formatInstanceKey(instance)))

  const listUnknownInZone = (): readonly BackendInstance[] => listUnknownEngines().filter((engine) => engine.availabilityZone === availabilityZone)

  const whenEnginesKnown = (): Promise<void> => new Promise((resolve) => {
    if (recovery.areEnginesKnown()) return resolve()
    recovery.onKnown(() => { if (recovery.areEnginesKnown()) resolve() })
  })

  /** The node of the zone that asks an engine: each gets its part, and an engine is asked once. */
  const isOwnToAsk = (engine: BackendInstance, nodes: readonly Member[]): boolean => {
    const [first] = rankMembers(formatInstanceKey(engine), nodes)
    return first?.nodeId === membership.self().nodeId
  }

  const askOwnPart = async (): Promise<void> => {
    const nodes = membership.liveMembers().filter((member) => member.availabilityZone === availabilityZone)
    await Promise.all(listUnknownInZone().filter((engine) => isOwnToAsk(engine, nodes)).map(askEngine))
  }

  const askRemaining = async (): Promise<void> => {
    const self = membership.self().nodeId
    if (!selectZoneReaders(availabilityZone, membership.liveMembers(), ASKING_NODES).some(({ nodeId }) => nodeId === self)) return
    await wait(clock, SPREAD_MS * random.next())
    for (const engine of listUnknownInZone()) await askEngine(engine)
  }

  const run = async (): Promise<void> => {
    await whenEnginesKnown()
    await wait(clock, PEERS_KNOWN_MS)
    const peer = listPeers().find((member) => member.availabilityZone === availabilityZone)
    if (peer !== undefined) await askPeer(peer)
    if (!isWhole) await askOwnPart()
    for (const listener of listeners) listener()
    if (!isWhole) await wait(clock, REMAINING_MS)
    // What other zones' nodes told before they knew this one.
    const [other] = listPeers()
    if (other !== undefined && listUnknownEngines().length > 0) await askPeer(other)
    if (!isWhole) await askRemaining()
    isWhole = true
  }

  return {
    start: () => { run() },
    onLearnt: (listener) => { listeners.push(listener) },
    isWhole: () => isWhole
  }
}
