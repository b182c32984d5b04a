/**
 * The load view: how many requests each backend server has in flight from the
 * whole fleet. It is the sum of three parts that never overlap: this node's
 * own requests, the counts that live peers published last, and what the
 * server's own report shows beyond both.
 */
import { createPeerCounts } from './_lib/createPeerCounts.js'
import { createReceivers } from './_lib/createReceivers.js'
import { createRecentMaximum } from './_lib/createRecentMaximum.js'
import type { RecentMaximum } from './_lib/createRecentMaximum.js'
import type { RunningService } from '../../kernel/index.js'
import type { FleetLoad } from '../fleetLoad/index.js'
import type { HeartbeatExchange } from '../heartbeatExchange/index.js'
import type { Clock, Heartbeat, HeartbeatParts, LoadReport, LoadView, Member, Membership, RouterSettings } from '../../types/index.js'

export type LoadViewDependencies = {
  readonly clock: Clock
  readonly membership: Pick<Membership, 'members' | 'onChange'>
  readonly exchange: HeartbeatExchange
  /**
   * Whether this node publishes what a server's report shows beyond the counts
   * of the routers. At most one router does so for a server, or it would be
   * counted more than once.
   */
  readonly publishesExcess?: (backendServer: string) => boolean
  /** Takes the place of the digests in heartbeats when the fleet is large. */
  readonly fleetLoad?: FleetLoad
}

/** `publishedCounts` is for the exchange in a large fleet: what this node tells others of its load. */
export type RunningLoadView = RunningService<LoadView> & { readonly publishedCounts: () => ReadonlyMap<string, number> }

export type LoadViewOptions = {
  readonly settings: Pick<RouterSettings, 'nodeId' | 'loadReportIntervalMs' | 'deadAfterMs'>
  readonly fullEveryTurns?: number
}

type Excess = { readonly requests: number, readonly peerSum: number, readonly until: number }

const DEFAULT_FULL_EVERY_TURNS = 120
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
  const { clock, membership, exchange, fleetLoad } = dependencies
  const { settings } = options
  const windowMs = 2 * settings.loadReportIntervalMs
  const own = new Map<string, number>()
  const excesses = new Map<string, Excess>()
  const recentMaxima = new Map<string, RecentMaximum>()
  const heardAt = new Map<string, number>()

  const readOwn = (backendServer: string): number => own.get(backendServer) ?? 0

  const isInLargeFleet = (): boolean => fleetLoad?.isInUse() === true

  const readPeers = (backendServer: string): number =>
    isInLargeFleet() ? fleetLoad!.readOthers(backendServer) : peerCounts.sum(backendServer)

  const readKnown = (backendServer: string): number => readOwn(backendServer) + readPeers(backendServer)

  const findRecentMaximum = (backendServer: string): RecentMaximum => {
    const known = recentMaxima.get(backendServer)
    if (known !== undefined) return known
    const created = createRecentMaximum(windowMs)
    recentMaxima.set(backendServer, created)
    return created
  }

  const noteKnown = (backendServer: string): void => findRecentMaximum(backendServer).note(readKnown(backendServer), clock.now())

  const peerCounts = createPeerCounts(noteKnown)
  const receivers = createReceivers({
    source: settings.nodeId,
    initialSequence: clock.wallTime(),
    fullEveryTurns: options.fullEveryTurns ?? DEFAULT_FULL_EVERY_TURNS
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

  const changeOwn = (backendServer: string, difference: number): void => {
    const inFlight = readOwn(backendServer) + difference
    if (inFlight < 0) throw new Error(`more requests ended than started on ${backendServer}`)
    if (inFlight === 0) own.delete(backendServer)
    else own.set(backendServer, inFlight)
    noteKnown(backendServer)
  }

  const applyReport = (backendServer: string, report: LoadReport): void => {
    const now = clock.now()
    // Older than the maximum reaches back: requests that have ended since would pass for unknown ones.
    if (report.ageMs > windowMs) return
    const requests = Math.max(0, report.running + report.waiting - findRecentMaximum(backendServer).read(now))
    if (requests === 0) excesses.delete(backendServer)
    else excesses.set(backendServer, { requests, peerSum: readPeers(backendServer), until: now + EXCESS_INTERVALS * settings.loadReportIntervalMs })
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

  const isGone = (nodeId: string): boolean => {
    const state = findMember(nodeId)?.state
    return state === undefined || state === 'dead'
  }

  const dropGone = (): void => {
    for (const source of peerCounts.sources()) if (isGone(source)) peerCounts.forget(source)
    for (const receiver of receivers.names()) if (isGone(receiver)) receivers.forget(receiver)
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

  const applyHeartbeat = (heartbeat: Heartbeat): void => {
    const sender = heartbeat.member.nodeId
    heardAt.set(sender, clock.now())
    if (heartbeat.loadWanted === true) receivers.forget(sender)
    if (heartbeat.load !== undefined && !isGone(heartbeat.load.source)) peerCounts.apply(heartbeat.load)
    dropSilent()
  }

  const contribute = (receiver: Member): HeartbeatParts => {
    if (isInLargeFleet()) return {}
    const load = receivers.next(receiver.nodeId, readPublished())
    return {
      ...(load === undefined ? {} : { load }),
      ...(peerCounts.hasGap(receiver.nodeId) ? { loadWanted: true } : {})
    }
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
      applyReport,
      nextDigest: (receiver) => receivers.next(receiver, readPublished()),
      applyDigest: (digest) => peerCounts.apply(digest)
    }
  }
}
