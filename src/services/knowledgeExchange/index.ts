/**
 * What gateway nodes tell each other of the configuration and the backend
 * servers: a node that can't read the source asks peers for the newest version,
 * its age, and what it lacks. An age is only believed from a reply to an own
 * question, so that a message which was long on its way proves nothing.
 */
import { readClocks } from '../../decisions/readClocks/index.js'
import type { Clocks } from '../../decisions/measureAge/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, Member, Membership, PeerTransport, RandomSource } from '../../types/index.js'
import type { RunningGatewayConfiguration } from '../gatewayConfiguration/index.js'
import type { HeartbeatExchange } from '../heartbeatExchange/index.js'
import type { RunningInstanceRegistry } from '../instanceRegistry/index.js'

export type KnowledgeExchange = { readonly ask: () => void }

export type KnowledgeExchangeDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly transport: PeerTransport
  readonly membership: Pick<Membership, 'members' | 'self'>
  readonly exchange: HeartbeatExchange
  readonly configuration: RunningGatewayConfiguration
  readonly registry: RunningInstanceRegistry
  readonly clocks: Clocks
}

/** Peers asked at once: one may be cut off as well, or dead and not yet known to be. */
const PEERS_ASKED = 3
const ASK_TIMEOUT_MS = 600
/** Least time between two rounds of questions, however many requests want one. */
const ASK_PAUSE_MS = 150

/**
 * Creates the exchange of one node.
 *
 * @param dependencies - Peers, and the holders of what is exchanged.
 * @returns The service for the kernel.
 *
 * @example
 * const exchange = createKnowledgeExchange(dependencies)
 * exchange.api.ask()
 */
export const createKnowledgeExchange = (dependencies: KnowledgeExchangeDependencies): RunningService<KnowledgeExchange> => {
  const { clock, random, transport, membership, exchange, configuration, registry, clocks } = dependencies
  let askedAt = -Infinity

  const askPeer = async (peer: Member): Promise<void> => {
    const sentAt = readClocks(clocks)
    const result = await transport.request(peer.address, { kind: 'knowledgeRequest', version: configuration.api.version(), revision: registry.api.revision() }, ASK_TIMEOUT_MS)
    if (!result.ok || result.value.kind !== 'knowledge') return
    const { version, ageMs, configuration: bytes, revision, instances } = result.value
    configuration.learn(sentAt, ageMs, version, bytes)
    if (instances !== undefined && !registry.isSourceReachable()) registry.learn(instances, revision)
  }

  const listPeers = (): readonly Member[] => {
    const self = membership.self().nodeId
    const peers = membership.members().filter(({ nodeId, state }) => nodeId !== self && state !== 'dead')
    return peers.map((peer) => ({ peer, order: random.next() })).sort((left, right) => left.order - right.order).map(({ peer }) => peer)
  }

  const ask = (): void => {
    if (clock.now() - askedAt < ASK_PAUSE_MS) return
    askedAt = clock.now()
    for (const peer of listPeers().slice(0, PEERS_ASKED)) askPeer(peer)
  }

  return {
    api: { ask },
    start: () => {
      transport.handle('knowledgeRequest', ({ version, revision }) => {
        const sourced = configuration.sourced()
        const ageMs = configuration.api.confirmedAgeMs()
        return {
          kind: 'knowledge',
          version: configuration.api.version(),
          ageMs,
          revision: registry.api.revision(),
          ...(sourced !== undefined && sourced.configuration.version > version ? { configuration: sourced.bytes } : {}),
          ...(registry.api.revision() > revision ? { instances: registry.api.all() } : {})
        }
      })
      exchange.addListener(({ member }) => configuration.hint(member.generation))
      configuration.onNeed(ask)
      registry.onNeed(ask)
    }
  }
}
