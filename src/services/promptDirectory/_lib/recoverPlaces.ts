/**
 * What a node that has just started does to learn where prompts are kept: it
 * asks peers of its zone, and where these have just started as well, two nodes
 * of the zone ask its engines and tell the others. Without this, the prompts of
 * a fleet that lost power are read again although the engines kept them; with
 * every node asking, 69 nodes made a thousand calls that delay the engines.
 */
import { selectZoneReaders } from '../../../decisions/selectZoneReaders/index.js'
import { describeSourceError } from '../../../decisions/describeSourceError/index.js'
import type { BackendInstance, Clock, EngineMemorySource, InstanceRegistry, Logger, Membership, PeerTransport, RandomSource } from '../../../types/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'

export type PlacesRecovery = {
  readonly logger: Logger
  readonly random: RandomSource
  readonly registry: Pick<InstanceRegistry, 'all'>
  readonly memory: EngineMemorySource
  readonly availabilityZone: string
  /** Whether a backend server keeps prompts at all. */
  readonly isEngine: (instance: BackendInstance) => boolean
}

export type RecoveryDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'request'>
  readonly membership: Pick<Membership, 'liveMembers' | 'self'>
  readonly recovery: PlacesRecovery
  readonly isKnown: (instanceKey: string) => boolean
  readonly noteAll: (parts: readonly string[], servers: readonly string[]) => void
  /** Passes a place on to peers. */
  readonly tell: (part: string, instanceKey: string) => void
}

/** Peers are known a heartbeat or two after the start. */
const PEERS_KNOWN_MS = 350
const ASK_TIMEOUT_MS = 500
/** Nodes of a zone ask its engines at different moments, so that the second hears of it from the first. */
const SPREAD_MS = 600
/** Nodes of a zone that ask its engines: the second does where the first one's news were lost. */
const ASKING_NODES = 2
const PEERS_ASKED = 2

const wait = (clock: Clock, ms: number): Promise<void> => new Promise((resolve) => { clock.setTimer(ms, resolve) })

const askPeers = async ({ transport, membership, recovery, noteAll }: RecoveryDependencies): Promise<boolean> => {
  const self = membership.self().nodeId
  const peers = membership.liveMembers().filter(({ nodeId, availabilityZone }) => nodeId !== self && availabilityZone === recovery.availabilityZone)
  const first = Math.floor(recovery.random.next() * peers.length)
  // By chance, or all nodes that start after a loss of power would ask the same two.
  for (const peer of [...peers.slice(first), ...peers.slice(0, first)].slice(0, PEERS_ASKED)) {
    const result = await transport.request(peer.address, { kind: 'promptPlacesRequest' }, ASK_TIMEOUT_MS)
    if (!result.ok || result.value.kind !== 'promptPlaces' || result.value.parts.length === 0) continue
    noteAll(result.value.parts, result.value.servers)
    recovery.logger.info('prompt places learnt', { from: peer.nodeId, places: result.value.parts.length })
    return true
  }
  return false
}

const askEngine = async ({ recovery, noteAll, tell }: RecoveryDependencies, instance: BackendInstance): Promise<void> => {
  const result = await recovery.memory.list(instance)
  if (!result.ok) {
    recovery.logger.warn('prompt places not learnt', { backendServer: instance.id, reason: describeSourceError(result.error) })
    return
  }
  recovery.logger.info('prompt places learnt', { from: instance.id, places: result.value.length })
  const key = formatInstanceKey(instance)
  noteAll(result.value.map(({ id }) => id), result.value.map(() => key))
  for (const { id } of result.value) tell(id, key)
}

/** Runs once after a start. */
export const recoverPlaces = async (dependencies: RecoveryDependencies): Promise<void> => {
  const { clock, membership, recovery, isKnown } = dependencies
  await wait(clock, PEERS_KNOWN_MS)
  if (await askPeers(dependencies)) return
  const self = membership.self().nodeId
  if (!selectZoneReaders(recovery.availabilityZone, membership.liveMembers(), ASKING_NODES).some(({ nodeId }) => nodeId === self)) return
  await wait(clock, SPREAD_MS * recovery.random.next())
  const engines = recovery.registry.all().filter((instance) => instance.availabilityZone === recovery.availabilityZone && recovery.isEngine(instance))
  for (const engine of engines) if (!isKnown(formatInstanceKey(engine))) await askEngine(dependencies, engine)
}
