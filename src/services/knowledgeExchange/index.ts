/**
 * Exchanges the configuration, the backend servers and the drained zones between
 * gateway nodes. One node per zone reads the source, so that the source's load
 * does not grow with the fleet. The others query this reader and the next zone's
 * in turn, and query their own reader at once when it announces an update. A node
 * that cannot read the source queries random peers. An age is only accepted in
 * the reply to a request of this node, because a one-way message may have been
 * delayed.
 */
import { selectReaders } from '../../decisions/selectReaders/index.js'
import type { Readers } from '../../decisions/selectReaders/index.js'
import { readClocks } from '../../decisions/readClocks/index.js'
import type { Clocks } from '../../decisions/measureAge/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { ChangePosition, Clock, Member, Membership, PeerMessageOf, PeerTransport, RandomSource, Timer, ZoneDrainNews } from '../../types/index.js'
import type { RunningGatewayConfiguration } from '../gatewayConfiguration/index.js'
import type { HeartbeatExchange } from '../heartbeatExchange/index.js'
import type { RunningInstanceRegistry } from '../instanceRegistry/index.js'
import type { RunningZoneDrains } from '../zoneDrains/index.js'

export type KnowledgeExchange = {
  /** Queries a few random peers. */
  readonly ask: () => void
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
  readonly clocks: Clocks
}

export type KnowledgeExchangeOptions = {
  /** Time between two queries of a node that relies on readers, in milliseconds. */
  readonly askIntervalMs: number
}

/** Number of peers queried at once: one of them may be cut off as well, or dead without being detected yet. */
const PEERS_ASKED = 3
const ASK_TIMEOUT_MS = 600
/** Minimum time between two rounds of queries, however many requests need one. */
const ASK_PAUSE_MS = 150
/** Updates are batched for this long, because a release changes several entries at once. */
const NEWS_DELAY_MS = 20

/** Time within which the zone's reader, if there is one, has announced a new version. */
const HINT_DELAY_MS = 100

/**
 * Creates the exchange of one node.
 *
 * @param dependencies - Peers, and the holders of the exchanged state.
 * @param options - Times in milliseconds.
 * @returns The service for the kernel.
 *
 * @example
 * const exchange = createKnowledgeExchange(dependencies, options)
 * exchange.api.ask()
 */
export const createKnowledgeExchange = (dependencies: KnowledgeExchangeDependencies, options: KnowledgeExchangeOptions): RunningService<KnowledgeExchange> => {
  const { clock, random, transport, membership, exchange, configuration, registry, zoneDrains, clocks } = dependencies
  /** Position up to which this node has the changes of each queried peer. */
  const positions = new Map<string, ChangePosition>()
  let askedAt = -Infinity
  let turn = 0
  let isNewsDue = false
  let isHintDue = false
  let timer: Timer | undefined

  const findReaders = (): Readers => selectReaders(membership.self().availabilityZone, membership.members())

  const isSelf = ({ nodeId }: Pick<Member, 'nodeId'>): boolean => nodeId === membership.self().nodeId

  const isReader = (): boolean => findReaders().own.some(isSelf)

  const askPeer = async (peer: Member): Promise<void> => {
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
      ASK_TIMEOUT_MS
    )
    if (!result.ok || result.value.kind !== 'knowledge') return
    const { version, ageMs, configuration: news, revision, instances } = result.value
    if (result.value.zoneDrains !== undefined) zoneDrains?.learn(result.value.zoneDrains, ageMs)
    configuration.learn(sentAt, ageMs, version, news)
    if (isReader() && registry.isSourceReachable()) return
    registry.learn(instances, revision, ageMs)
    positions.set(peer.nodeId, instances.position)
  }

  const listPeers = (): readonly Member[] => {
    const peers = membership.members().filter((member) => !isSelf(member) && member.state !== 'dead')
    return peers.map((peer) => ({ peer, order: random.next() })).sort((left, right) => left.order - right.order).map(({ peer }) => peer)
  }

  const ask = (): void => {
    if (clock.now() - askedAt < ASK_PAUSE_MS) return
    askedAt = clock.now()
    for (const peer of listPeers().slice(0, PEERS_ASKED)) askPeer(peer)
  }

  const askReader = (): void => {
    timer = clock.setTimer(options.askIntervalMs, askReader)
    const { own, asked } = findReaders()
    if (asked.length === 0 || own.some(isSelf)) return
    turn += 1
    const reader = asked[turn % asked.length]
    if (reader !== undefined) askPeer(reader)
  }

  /** Every message carries all drains: they are few, and a node that misses one would send requests to a drained zone. */
  const tellDrains = (): { readonly zoneDrains?: ZoneDrainNews } => {
    const news = zoneDrains?.news()
    return news === undefined ? {} : { zoneDrains: news }
  }

  const tellZone = (): void => {
    isNewsDue = false
    const { nodeId, availabilityZone } = membership.self()
    const readers = new Set(findReaders().own.map((reader) => reader.nodeId))
    if (!readers.has(nodeId)) return
    const message = { kind: 'knowledgeNews', source: nodeId, version: configuration.api.version(), position: registry.position(), ...tellDrains() } as const
    for (const member of membership.liveMembers()) {
      if (member.availabilityZone === availabilityZone && !readers.has(member.nodeId)) transport.send(member.address, message)
    }
  }

  const noteNews = (): void => {
    if (isNewsDue) return
    isNewsDue = true
    clock.setTimer(NEWS_DELAY_MS, tellZone)
  }

  const takeNews = ({ source, version, position, zoneDrains: drainNews }: PeerMessageOf<'knowledgeNews'>): void => {
    if (drainNews !== undefined) zoneDrains?.learn(drainNews)
    const sender = membership.members().find(({ nodeId }) => nodeId === source)
    if (sender === undefined || isReader()) return
    const known = positions.get(source)
    const isKnown = known?.origin === position.origin && known.sequence >= position.sequence
    if (version > configuration.api.version() || !isKnown) askPeer(sender)
  }

  /**
   * Handles a newer version seen in a heartbeat. Its sender is queried, unless this node reads the source itself or gets
   * the version from its reader within `HINT_DELAY_MS`. The delay matters because a recently started sender has no earlier
   * version, so that its reply would be a complete configuration instead of a change.
   */
  const takeHeartbeat = (member: Member): void => {
    if (member.generation <= configuration.api.version()) return
    configuration.hint(member.generation)
    if (isReader() || isHintDue) return
    isHintDue = true
    clock.setTimer(HINT_DELAY_MS, () => {
      isHintDue = false
      if (member.generation > configuration.api.version()) askPeer(member)
    })
  }

  return {
    api: { ask, isReader },
    start: () => {
      transport.handle('knowledgeRequest', ({ version, configurationRevision, revision, since }) => {
        const news = configuration.newsSince(version, configurationRevision)
        return {
          kind: 'knowledge',
          version: configuration.api.version(),
          ageMs: configuration.api.confirmedAgeMs(),
          revision: registry.api.revision(),
          instances: registry.newsSince(since, revision),
          ...tellDrains(),
          ...(news === undefined ? {} : { configuration: news })
        }
      })
      transport.handle('knowledgeNews', (news) => {
        takeNews(news)
        return { kind: 'none' }
      })
      exchange.addListener(({ member }) => takeHeartbeat(member))
      configuration.onNeed(ask)
      registry.onNeed(ask)
      zoneDrains?.onNeed(ask)
      configuration.api.onChange(noteNews)
      registry.api.onChange(noteNews)
      zoneDrains?.api.onChange(noteNews)
      timer = clock.setTimer(options.askIntervalMs, askReader)
    },
    stop: () => timer?.cancel()
  }
}
