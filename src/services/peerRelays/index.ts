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
export type RelayFailure = 'unreachable' | 'silent' | 'refused'

export type PeerRelays = {
  /** Selects a peer that may take a request of this node, other than the excluded ones. */
  readonly select: (excluded: ReadonlySet<string>) => RelayPeer | undefined
  readonly send: (attempt: RelayAttempt, listener: ExchangeListener) => Exchange
  readonly recordStart: (peer: RelayPeer) => void
  readonly recordEnd: (peer: RelayPeer) => void
  /** Bytes arrived from the peer, on any exchange. */
  readonly recordBytes: (peer: RelayPeer) => void
  readonly recordFailure: (peer: RelayPeer, failure: RelayFailure) => void
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

type Activity = { open: number, idleSince: number, avoidedUntil: number }

/** Time in milliseconds for which a peer gets no requests after a failure: a heartbeat tells its reach by then, and a short overload has passed. */
const AVOIDED_MS: Readonly<Record<RelayFailure, number>> = { unreachable: 1_000, silent: 1_000, refused: 500 }

const toPeer = ({ nodeId, incarnation, availabilityZone, address, relayPort }: Member): RelayPeer =>
  ({ nodeId, incarnation, availabilityZone, address: { host: address.host, port: relayPort ?? 0 } })

/**
 * Creates the service.
 *
 * @param dependencies - Clock, members and their reach, and the client to peers.
 * @returns The service for the kernel.
 *
 * @example
 * createPeerRelays(dependencies).api.select(new Set())?.nodeId // => 'node-2'
 */
export const createPeerRelays = (dependencies: PeerRelaysDependencies): RunningService<PeerRelays> => {
  const { clock, random, logger, membership, reach, client } = dependencies
  const activities = new Map<string, Activity>()

  const getActivity = ({ nodeId }: Pick<RelayPeer, 'nodeId'>): Activity => {
    const known = activities.get(nodeId)
    if (known !== undefined) return known
    const created: Activity = { open: 0, idleSince: clock.now(), avoidedUntil: -Infinity }
    activities.set(nodeId, created)
    return created
  }

  const listPeers = (excluded: ReadonlySet<string>): readonly Member[] => {
    const { nodeId } = membership.self()
    return membership.liveMembers().filter((member) => member.nodeId !== nodeId && member.relayPort !== undefined && !excluded.has(member.nodeId))
  }

  const toCandidate = ({ nodeId, availabilityZone }: Member): RelayCandidate => {
    const activity = activities.get(nodeId)
    return { nodeId, availabilityZone, reach: reach.readPeer(nodeId), open: activity?.open ?? 0, isAvoided: activity !== undefined && activity.avoidedUntil > clock.now() }
  }

  membership.onChange(() => {
    const live = new Set(membership.liveMembers().map(({ nodeId }) => nodeId))
    for (const [nodeId, { open }] of activities) if (!live.has(nodeId) && open === 0) activities.delete(nodeId)
    client.retain(live)
  })

  return {
    api: {
      select: (excluded) => {
        const peers = listPeers(excluded)
        const selected = selectRelayPeer(peers.map(toCandidate), membership.self().availabilityZone, random.next)
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
      recordFailure: (peer, failure) => {
        const activity = getActivity(peer)
        if (activity.avoidedUntil <= clock.now()) logger.info('peer avoided', { peer: peer.nodeId, failure, avoidedMs: AVOIDED_MS[failure] })
        activity.avoidedUntil = clock.now() + AVOIDED_MS[failure]
      },
      readIdleMs: (peer) => {
        const { open, idleSince } = getActivity(peer)
        return open > 0 ? clock.now() - idleSince : 0
      }
    },
    stop: client.close
  }
}
