/**
 * What gateway nodes tell each other of the configuration, the backend servers
 * and the drained zones. One node of a zone reads the source, so that its load doesn't grow
 * with the fleet; the others ask it and the next zone's by turns, and at once on
 * news from theirs. A node that can't read the source asks any peers. An age is only
 * believed from a reply to an own question, so that a message which was long on
 * its way proves nothing.
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
  /** Asks some peers, whoever they are. */
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
  /** Left out where zones can't be drained. */
  readonly zoneDrains?: RunningZoneDrains
  readonly clocks: Clocks
}

export type KnowledgeExchangeOptions = {
  /** Time between two questions of a node that relies on readers, in milliseconds. */
  readonly askIntervalMs: number
}

/** Peers asked at once: one may be cut off as well, or dead and not yet known to be. */
const PEERS_ASKED = 3
const ASK_TIMEOUT_MS = 600
/** Least time between two rounds of questions, however many requests want one. */
const ASK_PAUSE_MS = 150
/** News are collected for so long: a release changes several entries at once. */
const NEWS_DELAY_MS = 20

/** A reader's news of a version comes by then, where there is one. */
const HINT_DELAY_MS = 100

/**
 * Creates the exchange of one node.
 *
 * @param dependencies - Peers, and the holders of what is exchanged.
 * @param options - Times in milliseconds.
 * @returns The service for the kernel.
 *
 * @example
 * const exchange = createKnowledgeExchange(dependencies, options)
 * exchange.api.ask()
 */
export const createKnowledgeExchange = (dependencies: KnowledgeExchangeDependencies, options: KnowledgeExchangeOptions): RunningService<KnowledgeExchange> => {
  const { clock, random, transport, membership, exchange, configuration, registry, zoneDrains, clocks } = dependencies
  /** How far this node has come in the changes of each peer that it asked. */
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

  /** The drains as of the newest revision go with each message: they are few, and a node that lacks one sends where it must not. */
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
   * A newer version on its way through heartbeats: who has it is asked, unless this node reads the source itself or
   * hears of it from its reader within a moment. The member may have started lately and know no earlier version, so that
   * its reply would be whole.
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
