/**
 * Exchanges the configuration, the backend servers and the drained zones between
 * gateway nodes. One node per zone reads the source, so that the source's load
 * does not grow with the fleet. The others query this reader and the next zone's
 * in turn, and query their own reader at once when it announces an update. A node
 * that cannot read the source queries random peers. An age is only accepted in
 * the reply to a request of this node, because a one-way message may have been
 * delayed.
 */
import { describeProblem } from './_lib/describeProblem.js'
import { selectPlatformReaders } from '../../decisions/selectPlatformReaders/index.js'
import type { PlatformReaders } from '../../decisions/selectPlatformReaders/index.js'
import { readClocks } from '../../decisions/readClocks/index.js'
import type { Clocks } from '../../decisions/measureAge/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { ChangePosition, Clock, Logger, Member, Membership, PeerMessageOf, PeerTransport, RandomSource, Timer, ZoneDrainSnapshot } from '../../types/index.js'
import type { RunningGatewayConfiguration } from '../gatewayConfiguration/index.js'
import type { SourceContact } from '../_lib/createSourceContact.js'
import type { HeartbeatExchange } from '../heartbeatExchange/index.js'
import type { RunningInstanceRegistry } from '../instanceRegistry/index.js'
import type { RunningZoneDrains } from '../zoneDrains/index.js'

export type KnowledgeExchange = {
  /** Queries a few random peers. */
  readonly queryPeers: () => void
  /** Whether this node reads the source for its zone. */
  readonly isReader: () => boolean
}

export type KnowledgeExchangeDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly transport: PeerTransport
  readonly membership: Pick<Membership, 'members' | 'liveMembers' | 'self'>
  readonly exchange: HeartbeatExchange
  readonly configuration: RunningGatewayConfiguration
  readonly registry: RunningInstanceRegistry
  /** Omitted when the deployment has no zone drains. */
  readonly zoneDrains?: RunningZoneDrains
  /** This node's contact with the source, which peers are told of, and which their contact may correct. */
  readonly contact?: SourceContact
  readonly clocks: Clocks
  readonly logger: Pick<Logger, 'warn'>
}

export type KnowledgeExchangeOptions = {
  /** Time between two queries of a node that relies on readers, in milliseconds. */
  readonly queryIntervalMs: number
}

/** Number of peers queried at once: one of them may be cut off as well, or dead without being detected yet. */
const QUERIED_PEERS = 3
const QUERY_TIMEOUT_MS = 600
/** Minimum time between two rounds of queries, however many requests need one. */
const MINIMUM_QUERY_INTERVAL_MS = 150
/** Updates are batched for this long, because a release changes several entries at once. */
const ANNOUNCEMENT_DELAY_MS = 20

/** Time within which the zone's reader, if there is one, has announced a new version. */
const VERSION_QUERY_DELAY_MS = 100

/**
 * Creates the exchange of one node.
 *
 * @param dependencies - Peers, and the holders of the exchanged state.
 * @param options - Times in milliseconds.
 * @returns The service for the kernel.
 *
 * @example
 * const exchange = createKnowledgeExchange(dependencies, options)
 * exchange.api.queryPeers()
 */
export const createKnowledgeExchange = (dependencies: KnowledgeExchangeDependencies, options: KnowledgeExchangeOptions): RunningService<KnowledgeExchange> => {
  const { clock, random, transport, membership, exchange, configuration, registry, zoneDrains, contact, clocks, logger } = dependencies
  /** Position up to which this node has the changes of each queried peer. */
  const positions = new Map<string, ChangePosition>()
  let lastQueryAt = -Infinity
  let turn = 0
  let isAnnouncementScheduled = false
  let isVersionQueryScheduled = false
  let timer: Timer | undefined

  const findReaders = (): PlatformReaders => selectPlatformReaders(membership.self().availabilityZone, membership.members())

  const isSelf = ({ nodeId }: Pick<Member, 'nodeId'>): boolean => nodeId === membership.self().nodeId

  const isReader = (): boolean => findReaders().own.some(isSelf)

  const queryPeer = async (peer: Member): Promise<void> => {
    const sentAt = readClocks(clocks)
    const since = positions.get(peer.nodeId)
    const result = await transport.request(
      peer.address,
      {
        kind: 'knowledgeRequest',
        version: configuration.api.version(),
        configurationRevision: configuration.revision(),
        revision: registry.api.revision(),
        ...(since === undefined ? {} : { since })
      },
      QUERY_TIMEOUT_MS
    )
    if (!result.ok || result.value.kind !== 'knowledge') return
    const problem = describeProblem(result.value)
    if (problem !== undefined) return logger.warn('reply of a peer is malformed', { peer: peer.nodeId, reason: problem })
    const { version, ageMs, configuration: update, revision, instances, instancesLostMs = 0, zoneDrainsLostMs = 0, sourceAnsweredForMs = 0 } = result.value
    contact?.recordPeerContact(sourceAnsweredForMs)
    if (result.value.zoneDrains !== undefined) zoneDrains?.applyPeerUpdate(result.value.zoneDrains, Math.max(ageMs, zoneDrainsLostMs))
    configuration.applyPeerUpdate(sentAt, ageMs, version, update)
    if (isReader() && registry.isSourceReachable()) return
    registry.applyPeerUpdate(instances, revision, Math.max(ageMs, instancesLostMs))
    positions.set(peer.nodeId, instances.position)
  }

  const shufflePeers = (): readonly Member[] => {
    const peers = membership.members().filter((member) => !isSelf(member) && member.state !== 'dead')
    return peers.map((peer) => ({ peer, order: random.next() })).sort((left, right) => left.order - right.order).map(({ peer }) => peer)
  }

  const queryPeers = (): void => {
    if (clock.now() - lastQueryAt < MINIMUM_QUERY_INTERVAL_MS) return
    lastQueryAt = clock.now()
    for (const peer of shufflePeers().slice(0, QUERIED_PEERS)) queryPeer(peer)
  }

  const queryReader = (): void => {
    timer = clock.setTimer(options.queryIntervalMs, queryReader)
    // An outage that this node alone has seen keeps servers that have left.
    if (registry.isWaiting()) queryPeers()
    const { own, queried } = findReaders()
    if (queried.length === 0 || own.some(isSelf)) return
    turn += 1
    const reader = queried[turn % queried.length]
    if (reader !== undefined) queryPeer(reader)
  }

  /** Every message carries all drains: they are few, and a node that misses one would send requests to a drained zone. */
  const collectDrains = (): { readonly zoneDrains?: ZoneDrainSnapshot } => {
    const snapshot = zoneDrains?.createPeerUpdate()
    return snapshot === undefined ? {} : { zoneDrains: snapshot }
  }

  /** A reader can confirm the configuration while it fails to read a list: the nodes that rely on it must not take the list for as recent. */
  const describeLoss = (): { readonly instancesLostMs?: number, readonly zoneDrainsLostMs?: number } => {
    const instancesLostMs = registry.sourceLostMs()
    const zoneDrainsLostMs = zoneDrains?.sourceLostMs() ?? 0
    return { ...(instancesLostMs === 0 ? {} : { instancesLostMs }), ...(zoneDrainsLostMs === 0 ? {} : { zoneDrainsLostMs }) }
  }

  const describeContact = (): { readonly sourceAnsweredForMs?: number } => {
    const sourceAnsweredForMs = contact?.answeredForMs() ?? 0
    return sourceAnsweredForMs === 0 ? {} : { sourceAnsweredForMs }
  }

  const announceToZone = (): void => {
    isAnnouncementScheduled = false
    const { nodeId, availabilityZone } = membership.self()
    const readers = new Set(findReaders().own.map((reader) => reader.nodeId))
    if (!readers.has(nodeId)) return
    const message = { kind: 'knowledgeNews', source: nodeId, version: configuration.api.version(), position: registry.position(), ...collectDrains() } as const
    for (const member of membership.liveMembers()) {
      if (member.availabilityZone === availabilityZone && !readers.has(member.nodeId)) transport.send(member.address, message)
    }
  }

  const scheduleAnnouncement = (): void => {
    if (isAnnouncementScheduled) return
    isAnnouncementScheduled = true
    clock.setTimer(ANNOUNCEMENT_DELAY_MS, announceToZone)
  }

  const handleAnnouncement = ({ source, version, position, zoneDrains: drainSnapshot }: PeerMessageOf<'knowledgeNews'>): void => {
    if (drainSnapshot !== undefined) zoneDrains?.applyPeerUpdate(drainSnapshot)
    const sender = membership.members().find(({ nodeId }) => nodeId === source)
    if (sender === undefined || isReader()) return
    const known = positions.get(source)
    const isKnown = known?.origin === position.origin && known.sequence >= position.sequence
    if (version > configuration.api.version() || !isKnown) queryPeer(sender)
  }

  /**
   * Handles a newer version seen in a heartbeat. Its sender is queried, unless this node reads the source itself or gets
   * the version from its reader within `VERSION_QUERY_DELAY_MS`. The delay matters because a recently started sender has no earlier
   * version, so that its reply would be a complete configuration instead of a change.
   */
  const handleHeartbeat = (member: Member): void => {
    if (member.generation <= configuration.api.version()) return
    configuration.recordPeerVersion(member.generation)
    if (isReader() || isVersionQueryScheduled) return
    isVersionQueryScheduled = true
    clock.setTimer(VERSION_QUERY_DELAY_MS, () => {
      isVersionQueryScheduled = false
      if (member.generation > configuration.api.version()) queryPeer(member)
    })
  }

  return {
    api: { queryPeers, isReader },
    start: () => {
      transport.handle('knowledgeRequest', ({ version, configurationRevision, revision, since }) => {
        const update = configuration.createPeerUpdate(version, configurationRevision)
        return {
          kind: 'knowledge',
          version: configuration.api.version(),
          ageMs: configuration.api.confirmedAgeMs(),
          revision: registry.api.revision(),
          instances: registry.createPeerUpdate(since, revision),
          ...collectDrains(),
          ...describeLoss(),
          ...describeContact(),
          ...(update === undefined ? {} : { configuration: update })
        }
      })
      transport.handle('knowledgeNews', (announcement) => {
        handleAnnouncement(announcement)
        return { kind: 'none' }
      })
      exchange.addListener(({ member }) => handleHeartbeat(member))
      configuration.onPeersNeeded(queryPeers)
      registry.onPeersNeeded(queryPeers)
      registry.onWaiting(queryPeers)
      zoneDrains?.onPeersNeeded(queryPeers)
      configuration.api.onChange(scheduleAnnouncement)
      registry.api.onChange(scheduleAnnouncement)
      zoneDrains?.api.onChange(scheduleAnnouncement)
      timer = clock.setTimer(options.queryIntervalMs, queryReader)
    },
    stop: () => timer?.cancel()
  }
}
