/**
 * Selects peers through which this node sends requests that it can't send to a backend
 * server itself, and keeps how each of them responds. What a peer reaches comes from its
 * heartbeats and from its refusals; both are soft state that expires within seconds.
 */
import { selectRelayPeer, type RelayCandidate } from '../../decisions/selectRelayPeer/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, Exchange, ExchangeListener, Logger, Member, Membership, RandomSource, RelayAttempt, RelayClient, RelayPeer } from '../../types/index.js'
import type { ReachExchange } from '../reachExchange/index.js'

/** What an attempt shows about a peer. */
export type RelayFailure =
  | 'unreachable'
  | 'silent'
  /** It takes no requests of this node now. */
  | 'busy'
  /** It reaches no server of the service. */
  | 'noServer'

export type PeerRelays = {
  /** Selects a peer that may take a request for the service, other than the excluded ones. */
  readonly select: (service: string, excluded: ReadonlySet<string>) => RelayPeer | undefined
  readonly send: (attempt: RelayAttempt, listener: ExchangeListener) => Exchange
  readonly recordStart: (peer: RelayPeer) => void
  readonly recordEnd: (peer: RelayPeer) => void
  /** Bytes arrived from the peer, on any exchange. */
  readonly recordBytes: (peer: RelayPeer) => void
  readonly recordFailure: (peer: RelayPeer, service: string, failure: RelayFailure) => void
  /** A backend server of the service has answered through a peer. */
  readonly recordAnswer: (service: string) => void
  /** Milliseconds since bytes last arrived from the peer, while a request waits there; 0 when none does. */
  readonly readIdleMs: (peer: RelayPeer) => number
}

export type PeerRelaysDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly random: Pick<RandomSource, 'next'>
  readonly logger: Pick<Logger, 'info'>
  readonly membership: Pick<Membership, 'liveMembers' | 'self' | 'onChange'>
  readonly reach: Pick<ReachExchange, 'readPeer'>
  readonly client: RelayClient
}

type Activity = { open: number, idleSince: number }

/** Time in milliseconds for which a peer gets no requests after a failure: a heartbeat tells its reach by then, and a short overload has passed. */
const AVOIDED_MS: Readonly<Record<RelayFailure, number>> = { unreachable: 1_000, silent: 1_000, busy: 500, noServer: 500 }
/**
 * Peers in a row without a server of a service after which no peer is asked for it for a while. When the service
 * is down for all, each request would otherwise go to several peers, on every node of a large fleet.
 */
const PEERS_WITHOUT_SERVER = 3
const SERVICE_PAUSE_MS = 500

const formatPause = (service: string): string => `service ${service}`

const toPeer = ({ nodeId, incarnation, availabilityZone, address, relayPort }: Member): RelayPeer =>
  ({ nodeId, incarnation, availabilityZone, address: { host: address.host, port: relayPort ?? 0 } })

/**
 * Creates the service.
 *
 * @param dependencies - Clock, members and their reach, and the client to peers.
 * @returns The service for the kernel.
 *
 * @example
 * createPeerRelays(dependencies).api.select('engines', new Set())?.nodeId // => 'node-2'
 */
export const createPeerRelays = (dependencies: PeerRelaysDependencies): RunningService<PeerRelays> => {
  const { clock, random, logger, membership, reach, client } = dependencies
  const activities = new Map<string, Activity>()
  /** Monotonic milliseconds until which a peer gets no requests, by its name, and for a service by name and service. */
  const avoidedUntil = new Map<string, number>()
  const refusalsInRow = new Map<string, number>()

  const formatKey = ({ nodeId }: Pick<RelayPeer, 'nodeId'>, service: string): string => `${nodeId} ${service}`

  const isAvoided = (key: string): boolean => (avoidedUntil.get(key) ?? -Infinity) > clock.now()

  const removeEnded = (): void => { for (const [key, until] of avoidedUntil) if (until <= clock.now()) avoidedUntil.delete(key) }

  /** Counts a peer without a server of the service, and pauses the service after several. */
  const countRefusal = (service: string): void => {
    const count = (refusalsInRow.get(service) ?? 0) + 1
    refusalsInRow.set(service, count % PEERS_WITHOUT_SERVER)
    if (count >= PEERS_WITHOUT_SERVER) avoidedUntil.set(formatPause(service), clock.now() + SERVICE_PAUSE_MS)
  }

  const getActivity = ({ nodeId }: Pick<RelayPeer, 'nodeId'>): Activity => {
    const known = activities.get(nodeId)
    if (known !== undefined) return known
    const created: Activity = { open: 0, idleSince: clock.now() }
    activities.set(nodeId, created)
    return created
  }

  const listPeers = (excluded: ReadonlySet<string>): readonly Member[] => {
    const { nodeId } = membership.self()
    return membership.liveMembers().filter((member) => member.nodeId !== nodeId && member.relayPort !== undefined && !excluded.has(member.nodeId))
  }

  const toCandidate = (service: string) => (member: Member): RelayCandidate => ({
    nodeId: member.nodeId,
    availabilityZone: member.availabilityZone,
    reach: reach.readPeer(member.nodeId),
    open: activities.get(member.nodeId)?.open ?? 0,
    isAvoided: isAvoided(member.nodeId) || isAvoided(formatKey(member, service))
  })

  membership.onChange(() => {
    const live = new Set(membership.liveMembers().map(({ nodeId }) => nodeId))
    for (const [nodeId, { open }] of activities) if (!live.has(nodeId) && open === 0) activities.delete(nodeId)
    client.retain(live)
  })

  return {
    api: {
      select: (service, excluded) => {
        if (isAvoided(formatPause(service))) return undefined
        const peers = listPeers(excluded)
        const selected = selectRelayPeer(peers.map(toCandidate(service)), membership.self().availabilityZone, random.next)
        const member = peers.find(({ nodeId }) => nodeId === selected?.nodeId)
        return member === undefined ? undefined : toPeer(member)
      },
      send: client.send,
      recordStart: (peer) => {
        const activity = getActivity(peer)
        if (activity.open === 0) activity.idleSince = clock.now()
        activity.open += 1
      },
      recordEnd: (peer) => { getActivity(peer).open -= 1 },
      recordBytes: (peer) => { getActivity(peer).idleSince = clock.now() },
      recordFailure: (peer, service, failure) => {
        const key = failure === 'noServer' ? formatKey(peer, service) : peer.nodeId
        if (!isAvoided(key)) logger.info('peer avoided', { peer: peer.nodeId, service, failure, avoidedMs: AVOIDED_MS[failure] })
        removeEnded()
        avoidedUntil.set(key, clock.now() + AVOIDED_MS[failure])
        if (failure === 'noServer') countRefusal(service)
      },
      recordAnswer: (service) => { refusalsInRow.delete(service) },
      readIdleMs: (peer) => {
        const { open, idleSince } = getActivity(peer)
        return open > 0 ? clock.now() - idleSince : 0
      }
    },
    stop: client.close
  }
}
