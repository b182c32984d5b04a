/**
 * The load view: how many requests each backend server has in flight from the
 * whole fleet. It is the sum of three parts that never overlap: this node's
 * own requests, the counts that live peers published last, and what the
 * server's own report shows beyond both.
 */
import { createLoadBroadcast } from './_lib/createLoadBroadcast.js'
import { createPeerCounts } from './_lib/createPeerCounts.js'
import { createRecentMaximum } from './_lib/createRecentMaximum.js'
import type { RecentMaximum } from './_lib/createRecentMaximum.js'
import { formatServerHash, packLoadDigest, unpackLoadDigest } from '../../decisions/packLoadDigest/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { FleetLoad } from '../fleetLoad/index.js'
import type { HeartbeatExchange } from '../heartbeatExchange/index.js'
import type { Clock, Heartbeat, HeartbeatParts, LoadReport, LoadView, Member, Membership, PackedLoadDigest, PeerTransport, RouterSettings } from '../../types/index.js'

export type LoadViewDependencies = {
  readonly clock: Clock
  readonly transport: Pick<PeerTransport, 'send' | 'handle'>
  readonly membership: Pick<Membership, 'members' | 'onChange'>
  readonly exchange: HeartbeatExchange
  /**
   * Whether this node publishes what a server's report shows beyond the counts
   * of the routers. At most one router does so for a server, or it would be
   * counted more than once.
   */
  readonly publishesExcess?: (backendServer: string) => boolean
  /** Takes the place of the digests to all peers when the fleet is large. */
  readonly fleetLoad?: FleetLoad
}

/** `publishedCounts` is for the exchange in a large fleet: what this node tells others of its load. */
export type RunningLoadView = RunningService<LoadView> & { readonly publishedCounts: () => ReadonlyMap<string, number> }

export type LoadViewOptions = {
  readonly settings: Pick<RouterSettings, 'nodeId' | 'loadReportIntervalMs' | 'deadAfterMs'>
  /** Bytes a second for digests to peers, with the headers of TCP and IP; 3,000 by default. */
  readonly bytesPerSecond?: number
}

type Excess = { readonly requests: number, readonly peerSum: number, readonly until: number }

const DEFAULT_BYTES_PER_SECOND = 3000
/** Report intervals that an excess is believed for without a new report. */
const EXCESS_INTERVALS = 3
/** A peer silent for so many times the time to death no longer counts, whatever rumours say. */
const SILENCE_FACTOR = 3

/**
 * Creates the load view of one node.
 *
 * The report of a backend server is late and covers all routers, so its
 * requests are mostly counted already. Only what it shows above the highest
 * number that was known here since the report was made is added: a request
 * that began or ended in between is then never counted twice.
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
  const heardAt = new Map<string, number>()
  const lastSequences = new Map<string, number>()
  const incarnations = new Map<string, number>()
  const hashes = new Map<string, string>()
  const names = new Map<string, string>()

  const readOwn = (backendServer: string): number => own.get(backendServer) ?? 0

  const hashOf = (backendServer: string): string => {
    const known = hashes.get(backendServer)
    if (known !== undefined) return known
    const hash = formatServerHash(backendServer)
    hashes.set(backendServer, hash)
    names.set(hash, backendServer)
    return hash
  }

  const isInLargeFleet = (): boolean => fleetLoad?.isInUse() === true

  const readPeers = (backendServer: string): number =>
    isInLargeFleet() ? fleetLoad!.readOthers(backendServer) : peerCounts.sum(hashOf(backendServer))

  const readKnown = (backendServer: string): number => readOwn(backendServer) + readPeers(backendServer)

  const findRecentMaximum = (backendServer: string): RecentMaximum => {
    const known = recentMaxima.get(backendServer)
    if (known !== undefined) return known
    const created = createRecentMaximum(windowMs)
    recentMaxima.set(backendServer, created)
    return created
  }

  const noteKnown = (backendServer: string): void => findRecentMaximum(backendServer).note(readKnown(backendServer), clock.now())

  const peerCounts = createPeerCounts((hash) => {
    const backendServer = names.get(hash)
    if (backendServer !== undefined) noteKnown(backendServer)
  })

  const readExcess = (backendServer: string): number => {
    const excess = excesses.get(backendServer)
    if (excess === undefined || clock.now() >= excess.until) return 0
    if (isOwnToPublish(backendServer)) return excess.requests
    // The router that publishes the excess may just have done so: what the peers'
    // counts grew by since the report may be the same requests.
    return Math.max(0, excess.requests - Math.max(0, readPeers(backendServer) - excess.peerSum))
  }

  /** Without a publisher each node keeps the excess that it saw to itself. */
  const isOwnToPublish = (backendServer: string): boolean => dependencies.publishesExcess?.(backendServer) ?? true

  /** Sums have their own period: a timer a change would only wake the process. */
  const noteChange = (): void => { if (!isInLargeFleet()) broadcast.noteChange() }

  const changeOwn = (backendServer: string, difference: number): void => {
    const inFlight = readOwn(backendServer) + difference
    if (inFlight < 0) throw new Error(`more requests ended than started on ${backendServer}`)
    if (inFlight === 0) own.delete(backendServer)
    else own.set(backendServer, inFlight)
    noteKnown(backendServer)
    noteChange()
  }

  const applyReport = (backendServer: string, report: LoadReport): void => {
    const now = clock.now()
    // Older than the maximum reaches back: requests that have ended since would pass for unknown ones.
    if (report.ageMs > windowMs) return
    const requests = Math.max(0, report.running + report.waiting - findRecentMaximum(backendServer).read(now))
    if (requests === 0) excesses.delete(backendServer)
    else excesses.set(backendServer, { requests, peerSum: readPeers(backendServer), until: now + EXCESS_INTERVALS * settings.loadReportIntervalMs })
    noteChange()
  }

  const readPublished = (): ReadonlyMap<string, number> => {
    if (dependencies.publishesExcess === undefined || excesses.size === 0) return own
    const published = new Map(own)
    for (const backendServer of excesses.keys()) {
      const excess = dependencies.publishesExcess(backendServer) ? readExcess(backendServer) : 0
      if (excess > 0) published.set(backendServer, readOwn(backendServer) + excess)
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
    send: (receiver, digest) => transport.send(receiver.address, packLoadDigest(digest))
  })

  // A restarted peer numbers its digests from the beginning, and all of them would
  // pass for late ones of its previous incarnation. The new incarnation tells, and its
  // record begins anew.
  const isOtherIncarnation = (source: string): boolean => findMember(source)?.incarnation !== incarnations.get(source)

  const isGone = (nodeId: string): boolean => {
    const state = findMember(nodeId)?.state
    return state === undefined || state === 'dead'
  }

  const dropGone = (): void => {
    for (const source of peerCounts.sources()) if (isGone(source) || isOtherIncarnation(source)) peerCounts.forget(source)
    for (const source of heardAt.keys()) {
      if (!isGone(source)) continue
      heardAt.delete(source)
      lastSequences.delete(source)
      incarnations.delete(source)
    }
  }

  // In a partition where others still hear a peer that this node doesn't, rumours
  // keep it live and its last counts would stay for ever.
  const dropSilent = (): void => {
    const limit = clock.now() - SILENCE_FACTOR * settings.deadAfterMs
    for (const [source, at] of heardAt) {
      if (at >= limit) continue
      heardAt.delete(source)
      peerCounts.forget(source)
    }
  }

  const applyHeartbeat = ({ member, loadWanted, loadSequence }: Heartbeat): void => {
    heardAt.set(member.nodeId, clock.now())
    if (loadSequence !== undefined) {
      lastSequences.set(member.nodeId, loadSequence)
      // A digest of the previous incarnation came after the first heartbeat of the new one.
      if (peerCounts.isAhead(member.nodeId, loadSequence)) peerCounts.forget(member.nodeId)
    }
    if (loadWanted === true) broadcast.sendFull(member)
    dropSilent()
  }

  const applyDigest = (packed: PackedLoadDigest): void => {
    const source = findMember(packed.source)
    if (source === undefined || source.state === 'dead') return
    heardAt.set(packed.source, clock.now())
    incarnations.set(packed.source, source.incarnation)
    peerCounts.apply(unpackLoadDigest(packed))
  }

  const contribute = (receiver: Member): HeartbeatParts => {
    if (isInLargeFleet()) return {}
    // A digest that was lost shows at the next one, and at the latest by the number in the heartbeat.
    const lastSequence = lastSequences.get(receiver.nodeId)
    const isLacking = lastSequence !== undefined && peerCounts.lacks(receiver.nodeId, lastSequence)
    return { loadSequence: broadcast.sequence(), ...(isLacking ? { loadWanted: true } : {}) }
  }

  exchange.addContributor(contribute)
  exchange.addListener(applyHeartbeat)
  membership.onChange(dropGone)
  fleetLoad?.onChange(noteKnown)

  return {
    publishedCounts: readPublished,
    api: {
      recordStart: (backendServer) => changeOwn(backendServer, 1),
      recordEnd: (backendServer) => changeOwn(backendServer, -1),
      estimateInFlight: (backendServer) => readKnown(backendServer) + readExcess(backendServer),
      ownInFlight: readOwn,
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
