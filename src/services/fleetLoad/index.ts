/**
 * Aggregates load counts in a fleet that is too large for a full mesh of
 * routers. For each group of backend servers, one router of each zone sums the
 * requests that the routers of its zone have in flight there. These routers
 * exchange their sums, and each distributes the fleet's total through a tree
 * within its zone.
 */
import { createPublicationTimer } from './_lib/createPublicationTimer.js'
import { createServerIndex } from './_lib/createServerIndex.js'
import type { NamedServer } from './_lib/createServerIndex.js'
import type { SnapshotSum } from './_lib/createSnapshotStore.js'
import { createSumStage } from './_lib/createSumStage.js'
import { createTotals } from './_lib/createTotals.js'
import type { LoadTotal, ReceivedTotal } from './_lib/createTotals.js'
import { createZoneRanking } from './_lib/createZoneRanking.js'
import { selectForwardTargets } from '../../decisions/selectForwardTargets/index.js'
import { packLoadCounts, unpackLoadCounts, unpackUnreadTokens } from '../../decisions/packLoadCounts/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, LoadSnapshot, LoadSource, Logger, Member, Membership, PeerTransport } from '../../types/index.js'

export type { LoadTotal, NamedServer }

/** Prompt tokens that a backend server had still to read for other nodes, and when this was known, in monotonic milliseconds. */
export type UnreadReading = { readonly tokens: number, readonly at: number }

export type FleetLoad = {
  /** Whether the fleet is large enough to use aggregation instead of digests to all peers. */
  readonly isActive: () => boolean
  /** Requests in flight from other routers; 0 before the first snapshot or after the last one has expired. */
  readonly readOthers: (backendServer: string) => number
  /** Unread prompt tokens from other routers; `undefined` before the first snapshot or after the last one has expired. */
  readonly readOthersUnread: (backendServer: string) => UnreadReading | undefined
  /** The total behind `readOthers`; `undefined` before the first one or after the last one has expired. */
  readonly readSource: (backendServer: string) => LoadSource | undefined
  /** The totals that have not expired, by group. */
  readonly totals: () => readonly LoadTotal[]
  readonly onChange: (listener: (backendServer: string) => void) => void
}

export type FleetLoadDependencies = {
  readonly clock: Clock
  readonly transport: PeerTransport
  readonly membership: Pick<Membership, 'self' | 'liveMembers' | 'onChange'>
  /** Backend servers that are known to this node; a new array whenever they change. */
  readonly readServers: () => readonly NamedServer[]
  /** Counts that this node publishes: requests in flight by backend server. */
  readonly readCounts: () => ReadonlyMap<string, number>
  /** Prompt tokens that the servers have still to read for this node; nothing by default. */
  readonly readUnreadTokens?: () => ReadonlyMap<string, number>
  readonly logger?: Pick<Logger, 'warn' | 'info'>
}

export type FleetLoadOptions = {
  /** Maximum number of peers at which each router sends its digests to all others instead. */
  readonly fullMeshPeers: number
  /** Milliseconds between two snapshots; by default the period grows with the number of backend servers. */
  readonly periodMs?: number
  /** Shorter periods by the number of backend servers, read before each; at most `periodMs`. The period of the node that sums sets the pace of all. */
  readonly readPeriodMs?: (servers: number) => number
  /** Maximum number of nodes to which one router forwards a snapshot. */
  readonly fanOut?: number
}

type OthersLoad = {
  readonly at: number
  readonly inFlight: number
  readonly averageInFlight: number
  readonly unreadTokens: number
  readonly total: ReceivedTotal
}

const MINIMUM_PERIOD_MS = 250
const MAXIMUM_PERIOD_MS = 1000
/** Other nodes may state no shorter period than this. */
const MINIMUM_STATED_PERIOD_MS = 100
/** The size of a snapshot grows with the number of servers, and so does the period, so that bytes per second stay constant. */
const PERIOD_PER_SERVER_MS = 6
const DEFAULT_FAN_OUT = 2
/** Time in milliseconds after which a count has about a third of its weight in the average. */
const AVERAGE_MEMORY_MS = 1_000
/** Periods after which the last snapshot of a source expires. */
const MAXIMUM_AGE_PERIODS = 4

/**
 * Creates the load exchange of one node for a large fleet.
 *
 * Snapshots are complete and periodic: after the loss of a snapshot, or of a
 * router that sums, counts are stale for a few periods and no repair is needed.
 * A router accepts totals only from the router that it ranks highest itself, so
 * that the totals of two routers which both rank themselves highest are not added up.
 * No clock is compared with another: a total sets the time of the next counts.
 *
 * @param dependencies - Clock, transport, membership, the servers and the counts of this node.
 * @param options - Limits, and the period in milliseconds.
 * @returns The service for the kernel, which publishes from its start to its stop.
 *
 * @example
 * const { api } = createFleetLoad({ clock, transport, membership, readServers, readCounts }, { fullMeshPeers: 12 })
 * api.readOthers('engine-1') // => 0
 */
export const createFleetLoad = (dependencies: FleetLoadDependencies, options: FleetLoadOptions): RunningService<FleetLoad> => {
  const { clock, transport, membership } = dependencies
  const fanOut = options.fanOut ?? DEFAULT_FAN_OUT
  const maximumAgeMs = MAXIMUM_AGE_PERIODS * (options.periodMs ?? MAXIMUM_PERIOD_MS)
  const zoneRanking = createZoneRanking(membership)
  const serverIndex = createServerIndex(dependencies.readServers)
  const othersByServer = new Map<string, OthersLoad>()
  const listeners: ((backendServer: string) => void)[] = []
  let lastSent: ReadonlyMap<string, number> = new Map()
  let lastSentUnread: ReadonlyMap<string, number> = new Map()
  let sequence = clock.wallTime()
  let isStopped = false

  /** Cached until the membership changes, since placement reads it for each server of each request. */
  let isLarge: boolean | undefined
  membership.onChange(() => { isLarge = undefined })

  const isActive = (): boolean => {
    isLarge ??= membership.liveMembers().length - 1 > options.fullMeshPeers
    return isLarge
  }

  const findOwnPeriodMs = (): number =>
    options.readPeriodMs?.(serverIndex.size()) ?? options.periodMs ?? Math.min(MAXIMUM_PERIOD_MS, Math.max(MINIMUM_PERIOD_MS, serverIndex.size() * PERIOD_PER_SERVER_MS))

  /** The period of the last total, so that nodes with different lists of servers keep the same pace. */
  const findPeriodMs = (): number => {
    const stated = totals.find(serverIndex.firstGroup())?.snapshot.periodMs
    return stated === undefined ? findOwnPeriodMs() : Math.min(MAXIMUM_PERIOD_MS, Math.max(MINIMUM_STATED_PERIOD_MS, stated))
  }

  const readOwnZone = (): string => membership.self().availabilityZone

  const isSelf = (member: Member | undefined): boolean => member?.nodeId === membership.self().nodeId

  const readSummingNode = (group: string): Member | undefined => zoneRanking.rank(readOwnZone(), group)[0]

  const isResponsible = (group: string): boolean => isActive() && isSelf(readSummingNode(group))

  const totals = createTotals({ clock, logger: dependencies.logger, maximumAgeMs, findSource: (group) => readSummingNode(group)?.nodeId })

  const createSnapshot = (scope: LoadSnapshot['scope'], source: string, group: string, { counts, unreadTokens, ageMs, periodMs }: SnapshotSum): LoadSnapshot => {
    sequence += 1
    const { nodeId } = membership.self()
    return { scope, source, nodeId, group, sequence, ageMs: Math.round(ageMs), ...(periodMs === undefined ? {} : { periodMs }), ...packLoadCounts(counts, unreadTokens) }
  }

  const deliver = (receiver: Member | undefined, snapshot: LoadSnapshot): void => {
    if (receiver === undefined) return
    if (isSelf(receiver)) return applySnapshot(snapshot)
    transport.send(receiver.address, { kind: 'loadSnapshot', snapshot })
  }

  const publishNode = (): void => {
    if (!isActive()) return
    totals.reportLost()
    const counts = dependencies.readCounts()
    const unread = dependencies.readUnreadTokens?.() ?? new Map<string, number>()
    lastSent = new Map(counts)
    lastSentUnread = unread
    for (const [group, servers] of serverIndex.groups()) {
      const loaded = servers.filter(({ name }) => (counts.get(name) ?? 0) > 0)
      const sum: SnapshotSum = {
        ageMs: 0,
        periodMs: undefined,
        counts: new Map(loaded.map(({ hash, name }) => [hash, counts.get(name) ?? 0])),
        unreadTokens: new Map(loaded.map(({ hash, name }) => [hash, unread.get(name) ?? 0]))
      }
      deliver(readSummingNode(group), createSnapshot('node', membership.self().nodeId, group, sum))
    }
  }

  const publishZoneSum = (group: string, sum: SnapshotSum): void => {
    const snapshot = createSnapshot('zone', readOwnZone(), group, { ...sum, periodMs: Math.round(findOwnPeriodMs()) })
    for (const routerZone of zoneRanking.zones()) deliver(zoneRanking.rank(routerZone, group)[0], snapshot)
  }

  const publishTotal = (group: string, sum: SnapshotSum): void => applySnapshot(createSnapshot('fleet', readOwnZone(), group, sum))

  const stageOptions = { clock, maximumAgeMs, readPeriodMs: findPeriodMs, isResponsible }
  const zoneStage = createSumStage({ ...stageOptions, countSources: (group) => zoneRanking.rank(readOwnZone(), group).length, publish: publishZoneSum })
  const fleetStage = createSumStage({ ...stageOptions, countSources: () => zoneRanking.zones().length, findPacemaker: () => zoneRanking.zones()[0], publish: publishTotal })
  const publicationTimer = createPublicationTimer({ clock, readPeriodMs: findPeriodMs, publish: publishNode })

  const forward = (snapshot: LoadSnapshot): void => {
    const ranked = zoneRanking.rank(readOwnZone(), snapshot.group)
    const self = ranked.find(isSelf)
    if (self === undefined) return
    for (const receiver of selectForwardTargets(ranked, self, fanOut)) transport.send(receiver.address, { kind: 'loadSnapshot', snapshot })
  }

  const averageCounts = (last: OthersLoad | undefined, inFlight: number): number => {
    if (last === undefined) return inFlight
    const weight = 1 - Math.exp((last.at - clock.now()) / AVERAGE_MEMORY_MS)
    return last.averageInFlight + weight * (inFlight - last.averageInFlight)
  }

  const applyFleetTotal = (snapshot: LoadSnapshot): void => {
    if (readSummingNode(snapshot.group)?.nodeId !== snapshot.nodeId) return
    const counts = unpackLoadCounts(snapshot)
    const unread = unpackUnreadTokens(snapshot)
    const total = totals.record(snapshot)
    // The totals of one group set the pace; the others arrive at about the same time.
    if (snapshot.group === serverIndex.firstGroup()) publicationTimer.recordTotal()
    for (const { name, hash } of serverIndex.groups().get(snapshot.group) ?? []) {
      // The total includes the counts that this node sent last; only the rest belongs to others.
      const inFlight = Math.max(0, (counts.get(hash) ?? 0) - (lastSent.get(name) ?? 0))
      const unreadTokens = Math.max(0, (unread.get(hash) ?? 0) - (lastSentUnread.get(name) ?? 0))
      othersByServer.set(name, { at: clock.now(), inFlight, averageInFlight: averageCounts(readOthers(name), inFlight), unreadTokens, total })
      for (const listen of listeners) listen(name)
    }
    forward(snapshot)
  }

  const snapshotHandlers: Readonly<Record<LoadSnapshot['scope'], (snapshot: LoadSnapshot) => void>> = {
    node: zoneStage.receive,
    zone: fleetStage.receive,
    fleet: applyFleetTotal
  }

  const applySnapshot = (snapshot: LoadSnapshot): void => snapshotHandlers[snapshot.scope](snapshot)

  const readOthers = (backendServer: string): OthersLoad | undefined => {
    const others = othersByServer.get(backendServer)
    return others === undefined || clock.now() - others.at > maximumAgeMs ? undefined : others
  }

  return {
    api: {
      isActive,
      readOthers: (backendServer) => readOthers(backendServer)?.inFlight ?? 0,
      readOthersUnread: (backendServer) => {
        const others = readOthers(backendServer)
        return others === undefined ? undefined : { tokens: others.unreadTokens, at: others.at }
      },
      readSource: (backendServer) => {
        const others = readOthers(backendServer)
        if (others === undefined) return undefined
        const { sum, ageMs } = totals.describe(others.total)
        return { sum, ageMs, averageInFlight: others.averageInFlight }
      },
      totals: totals.list,
      onChange: (listener) => { listeners.push(listener) }
    },
    start: () => {
      transport.handle('loadSnapshot', ({ snapshot }) => {
        // A snapshot that arrives after the stop must not start a timer.
        if (!isStopped) applySnapshot(snapshot)
        return { kind: 'none' }
      })
      publicationTimer.start()
    },
    stop: () => {
      isStopped = true
      publicationTimer.stop()
      zoneStage.stop()
      fleetStage.stop()
    }
  }
}
