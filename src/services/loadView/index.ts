/**
 * The load view: estimates how many requests of the whole fleet each backend
 * server has in flight. The estimate is the sum of three disjoint parts: this
 * node's own requests, the latest counts of live peers, and the requests that
 * the server reports beyond both (the excess).
 */
import { createLoadBroadcast } from './_lib/createLoadBroadcast.js'
import { createPeerCounts } from './_lib/createPeerCounts.js'
import { createPeerUnread } from './_lib/createPeerUnread.js'
import { createRecentMaximum } from './_lib/createRecentMaximum.js'
import type { RecentMaximum } from './_lib/createRecentMaximum.js'
import { formatServerHash, packLoadDigest, unpackLoadDigest, unpackUnreadDigest } from '../../decisions/packLoadDigest/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { FleetLoad, UnreadReading } from '../fleetLoad/index.js'
import type { HeartbeatExchange } from '../heartbeatExchange/index.js'
import type { Clock, Heartbeat, HeartbeatParts, LoadReport, LoadView, Member, Membership, PackedLoadDigest, PeerTransport, RouterSettings } from '../../types/index.js'

export type LoadViewDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'send' | 'handle'>
  readonly membership: Pick<Membership, 'members' | 'onChange'>
  readonly exchange: HeartbeatExchange
  /**
   * Whether this node publishes the excess of a server: the requests that its
   * report shows beyond the counts of the routers. At most one router may do
   * so for each server, or the excess would be counted more than once.
   */
  readonly publishesExcess?: (backendServer: string) => boolean
  /** Replaces the digests to all peers when the fleet is large. */
  readonly fleetLoad?: FleetLoad
  /** Prompt tokens that the servers have still to read for this node, which its digests state; nothing by default. */
  readonly readUnreadTokens?: () => ReadonlyMap<string, number>
}

/** `readPublishedCounts` returns the load that this node reports to others, for the exchange in a large fleet. */
export type RunningLoadView = RunningService<LoadView> & {
  readonly readPublishedCounts: () => ReadonlyMap<string, number>
  /** Prompt tokens that a server has still to read for live peers, by their latest statements. */
  readonly readPeersUnread: (backendServer: string) => UnreadReading | undefined
}

export type LoadViewOptions = {
  readonly settings: Pick<RouterSettings, 'nodeId' | 'loadReportIntervalMs' | 'deadAfterMs'>
  /** Bytes per second for digests to peers, including TCP and IP headers; 3,000 by default. */
  readonly bytesPerSecond?: number
}

type Excess = { readonly requests: number, readonly peerSum: number, readonly until: number }

const DEFAULT_BYTES_PER_SECOND = 3000
/** Report intervals after which an excess expires without a new report. */
const EXCESS_LIFETIME_INTERVALS = 3
/** The counts of a peer are dropped after this many times `deadAfterMs` without a message from it, whatever state gossip gives it. */
const PEER_EXPIRY_FACTOR = 3

/**
 * Creates the load view of one node.
 *
 * The report of a backend server arrives late and covers all routers, so most of
 * its requests are counted already. Only the part above the highest count known
 * here since the report was made is added. A request that started or ended in
 * between is thus never counted twice.
 *
 * @param dependencies - Clock, membership and the heartbeat exchange.
 * @param options - Settings; times in milliseconds.
 * @returns The service for the kernel.
 *
 * @example
 * const { api } = createLoadView({ clock, membership, exchange }, { settings })
 * api.recordStart('engine-1')
 * api.estimateInFlight('engine-1') // => 1
 */
export const createLoadView = (dependencies: LoadViewDependencies, options: LoadViewOptions): RunningLoadView => {
  const { clock, transport, membership, exchange, fleetLoad } = dependencies
  const { settings } = options
  const windowMs = 2 * settings.loadReportIntervalMs
  const own = new Map<string, number>()
  const excesses = new Map<string, Excess>()
  const recentMaxima = new Map<string, RecentMaximum>()
  const lastReceivedAt = new Map<string, number>()
  const lastSequences = new Map<string, number>()
  const incarnations = new Map<string, number>()
  const hashes = new Map<string, string>()
  const names = new Map<string, string>()

  const readOwnCount = (backendServer: string): number => own.get(backendServer) ?? 0

  const getHash = (backendServer: string): string => {
    const known = hashes.get(backendServer)
    if (known !== undefined) return known
    const hash = formatServerHash(backendServer)
    hashes.set(backendServer, hash)
    names.set(hash, backendServer)
    return hash
  }

  const isInLargeFleet = (): boolean => fleetLoad?.isActive() === true

  const readPeerCount = (backendServer: string): number =>
    isInLargeFleet() ? fleetLoad!.readOthers(backendServer) : peerCounts.sum(getHash(backendServer))

  const readKnownCount = (backendServer: string): number => readOwnCount(backendServer) + readPeerCount(backendServer)

  const getRecentMaximum = (backendServer: string): RecentMaximum => {
    const known = recentMaxima.get(backendServer)
    if (known !== undefined) return known
    const created = createRecentMaximum(windowMs)
    recentMaxima.set(backendServer, created)
    return created
  }

  const recordKnownCount = (backendServer: string): void => getRecentMaximum(backendServer).record(readKnownCount(backendServer), clock.now())

  const peerCounts = createPeerCounts((hash) => {
    const backendServer = names.get(hash)
    if (backendServer !== undefined) recordKnownCount(backendServer)
  })

  const peerUnread = createPeerUnread()

  const readExcess = (backendServer: string): number => {
    const excess = excesses.get(backendServer)
    if (excess === undefined || clock.now() >= excess.until) return 0
    if (isPublisher(backendServer)) return excess.requests
    // Another router may have published the excess since the report: any growth of the
    // peers' counts since then may be the same requests.
    return Math.max(0, excess.requests - Math.max(0, readPeerCount(backendServer) - excess.peerSum))
  }

  /** Whether this node publishes the excess; without publishers each node uses its own excess locally. */
  const isPublisher = (backendServer: string): boolean => dependencies.publishesExcess?.(backendServer) ?? true

  /** Load sums of a large fleet have their own period; a timer for each change would only cost wake-ups. */
  const scheduleBroadcast = (): void => { if (!isInLargeFleet()) broadcast.scheduleBroadcast() }

  const adjustOwnCount = (backendServer: string, difference: number): void => {
    const inFlight = readOwnCount(backendServer) + difference
    if (inFlight < 0) throw new Error(`more requests ended than started on ${backendServer}`)
    if (inFlight === 0) own.delete(backendServer)
    else own.set(backendServer, inFlight)
    recordKnownCount(backendServer)
    scheduleBroadcast()
  }

  const applyReport = (backendServer: string, report: LoadReport): void => {
    const now = clock.now()
    // The report is older than the window of the maximum: requests that have ended since would count as excess.
    if (report.ageMs > windowMs) return
    const requests = Math.max(0, report.running + report.waiting - getRecentMaximum(backendServer).read(now))
    if (requests === 0) excesses.delete(backendServer)
    else excesses.set(backendServer, { requests, peerSum: readPeerCount(backendServer), until: now + EXCESS_LIFETIME_INTERVALS * settings.loadReportIntervalMs })
    scheduleBroadcast()
  }

  const readPublished = (): ReadonlyMap<string, number> => {
    if (dependencies.publishesExcess === undefined || excesses.size === 0) return own
    const published = new Map(own)
    for (const backendServer of excesses.keys()) {
      const excess = dependencies.publishesExcess(backendServer) ? readExcess(backendServer) : 0
      if (excess > 0) published.set(backendServer, readOwnCount(backendServer) + excess)
    }
    return published
  }

  const findMember = (nodeId: string): Member | undefined => membership.members().find((member) => member.nodeId === nodeId)

  const listPeers = (): readonly Member[] => {
    if (isInLargeFleet()) return []
    return membership.members().filter((member) => member.nodeId !== settings.nodeId && member.state !== 'dead')
  }

  const broadcast = createLoadBroadcast({
    clock,
    source: settings.nodeId,
    bytesPerSecond: options.bytesPerSecond ?? DEFAULT_BYTES_PER_SECOND,
    readCounts: readPublished,
    listReceivers: listPeers,
    send: (receiver, digest) => transport.send(receiver.address, packLoadDigest(digest, dependencies.readUnreadTokens?.()))
  })

  // A restarted peer numbers its digests from the beginning again, so they would look
  // like late digests of its previous incarnation. A new incarnation resets the record.
  const hasOtherIncarnation = (source: string): boolean => findMember(source)?.incarnation !== incarnations.get(source)

  const isDeadOrUnknown = (nodeId: string): boolean => {
    const state = findMember(nodeId)?.state
    return state === undefined || state === 'dead'
  }

  const dropPeer = (source: string): void => {
    peerCounts.remove(source)
    peerUnread.remove(source)
  }

  const dropDeadPeers = (): void => {
    for (const source of peerCounts.sources()) if (isDeadOrUnknown(source) || hasOtherIncarnation(source)) dropPeer(source)
    for (const source of lastReceivedAt.keys()) {
      if (!isDeadOrUnknown(source)) continue
      lastReceivedAt.delete(source)
      lastSequences.delete(source)
      incarnations.delete(source)
    }
  }

  // In a partial partition, other nodes still receive the heartbeats of a peer that this node doesn't.
  // Gossip then keeps the peer live here, and its last counts would never expire.
  const dropUnresponsivePeers = (): void => {
    const limit = clock.now() - PEER_EXPIRY_FACTOR * settings.deadAfterMs
    for (const [source, at] of lastReceivedAt) {
      if (at >= limit) continue
      lastReceivedAt.delete(source)
      dropPeer(source)
    }
  }

  const applyHeartbeat = ({ member, loadWanted, loadSequence }: Heartbeat): void => {
    lastReceivedAt.set(member.nodeId, clock.now())
    if (loadSequence !== undefined) {
      lastSequences.set(member.nodeId, loadSequence)
      // A digest of the previous incarnation arrived after the first heartbeat of the new one.
      if (peerCounts.isAhead(member.nodeId, loadSequence)) dropPeer(member.nodeId)
    }
    if (loadWanted === true) broadcast.sendFull(member)
    dropUnresponsivePeers()
  }

  const applyDigest = (packed: PackedLoadDigest): void => {
    const source = findMember(packed.source)
    if (source === undefined || source.state === 'dead') return
    lastReceivedAt.set(packed.source, clock.now())
    incarnations.set(packed.source, source.incarnation)
    peerCounts.apply(unpackLoadDigest(packed))
    peerUnread.apply(packed.source, unpackUnreadDigest(packed), clock.now())
  }

  const createHeartbeatParts = (receiver: Member): HeartbeatParts => {
    if (isInLargeFleet()) return {}
    // A lost digest is detected by the next one, or at the latest by the sequence number in the heartbeat.
    const lastSequence = lastSequences.get(receiver.nodeId)
    const isMissingDigests = lastSequence !== undefined && peerCounts.isBehind(receiver.nodeId, lastSequence)
    return { loadSequence: broadcast.sequence(), ...(isMissingDigests ? { loadWanted: true } : {}) }
  }

  exchange.addContributor(createHeartbeatParts)
  exchange.addListener(applyHeartbeat)
  membership.onChange(dropDeadPeers)
  fleetLoad?.onChange(recordKnownCount)

  return {
    readPublishedCounts: readPublished,
    readPeersUnread: (backendServer) => isInLargeFleet() ? fleetLoad!.readOthersUnread(backendServer) : peerUnread.read(getHash(backendServer)),
    api: {
      recordStart: (backendServer) => adjustOwnCount(backendServer, 1),
      recordEnd: (backendServer) => adjustOwnCount(backendServer, -1),
      estimateInFlight: (backendServer) => readKnownCount(backendServer) + readExcess(backendServer),
      ownInFlight: readOwnCount,
      // Peers change their counts about as often as this node.
      readSource: (backendServer) => isInLargeFleet() ? fleetLoad!.readSource(backendServer) : { ageMs: broadcast.delayMs() },
      applyReport
    },
    start: () => {
      transport.handle('loadDigest', (packed) => {
        applyDigest(packed)
        return { kind: 'none' }
      })
    }
  }
}
