/**
 * Aggregates load counts in a fleet that is too large for a full mesh of
 * routers. For each group of backend servers, one router of each zone sums the
 * requests that the routers of its zone have in flight there. These routers
 * exchange their sums, and each distributes the fleet's total through a tree
 * within its zone.
 */
import { createServerIndex } from './_lib/createServerIndex.js'
import type { NamedServer } from './_lib/createServerIndex.js'
import { createSnapshotStore } from './_lib/createSnapshotStore.js'
import type { SnapshotStore, SnapshotSum } from './_lib/createSnapshotStore.js'
import { createZoneRanking } from './_lib/createZoneRanking.js'
import { selectForwardTargets } from '../../decisions/selectForwardTargets/index.js'
import { packLoadCounts, unpackLoadCounts, unpackUnreadTokens } from '../../decisions/packLoadCounts/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { Clock, LoadSnapshot, LoadSource, Logger, Member, Membership, PeerTransport, Timer } from '../../types/index.js'

export type { NamedServer }

/** Prompt tokens that a backend server had still to read for other nodes, and when this was known, in monotonic milliseconds. */
export type UnreadReading = { readonly tokens: number, readonly at: number }

/** The fleet's total that a node uses for a group of backend servers. */
export type LoadTotal = Required<LoadSource> & {
  /** Availability zone of the backend servers; empty when the total covers all zones. */
  readonly group: string
  /** Requests in flight from all nodes, this one included. */
  readonly requests: number
}

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
  /** Shorter periods by the number of backend servers, read before each; at most `periodMs`. All nodes should return the same. */
  readonly readPeriodMs?: (servers: number) => number
  /** Maximum number of nodes to which one router forwards a snapshot. */
  readonly fanOut?: number
}

type ReceivedTotal = { readonly at: number, readonly snapshot: LoadSnapshot, readonly requests: number }

type OthersLoad = { readonly at: number, readonly inFlight: number, readonly unreadTokens: number, readonly total: ReceivedTotal }

const MINIMUM_PERIOD_MS = 250
const MAXIMUM_PERIOD_MS = 1000
/** The size of a snapshot grows with the number of servers, and so does the period, so that bytes per second stay constant. */
const PERIOD_PER_SERVER_MS = 6
const DEFAULT_FAN_OUT = 2
/** Periods after which the last snapshot of a source expires. */
const MAXIMUM_AGE_PERIODS = 4
/**
 * Latest start of each stage, as a fraction of the period by wall time. A sum is computed as soon as all its
 * inputs have arrived; at this time it no longer waits for a source that is slow or dead.
 */
const STAGE_STARTS = { node: 0, zone: 0.3, fleet: 0.6 }

/**
 * Creates the load exchange of one node for a large fleet.
 *
 * Snapshots are complete and periodic: after the loss of a snapshot, or of a
 * router that sums, counts are stale for a few periods and no repair is needed.
 * A router accepts totals only from the router that it ranks highest itself, so
 * that the totals of two routers which both rank themselves highest are not added up.
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
  const stores: Readonly<Record<'node' | 'zone', Map<string, SnapshotStore>>> = { node: new Map(), zone: new Map() }
  /** Groups whose sum of this period was published before the latest start of its stage, by the scope of the inputs. */
  const publishedEarly: Readonly<Record<'node' | 'zone', Set<string>>> = { node: new Set(), zone: new Set() }
  const othersByServer = new Map<string, OthersLoad>()
  const lastTotals = new Map<string, ReceivedTotal>()
  const lostGroups = new Set<string>()
  const listeners: ((backendServer: string) => void)[] = []
  const timers = new Map<string, Timer>()
  let lastSent: ReadonlyMap<string, number> = new Map()
  let lastSentUnread: ReadonlyMap<string, number> = new Map()
  let sequence = clock.wallTime()

  /** Cached until the membership changes, since placement reads it for each server of each request. */
  let isLarge: boolean | undefined
  membership.onChange(() => { isLarge = undefined })

  const isActive = (): boolean => {
    isLarge ??= membership.liveMembers().length - 1 > options.fullMeshPeers
    return isLarge
  }

  // Equal on all routers that know the same number of servers, so that their stages are synchronised.
  const findPeriodMs = (): number =>
    options.readPeriodMs?.(serverIndex.size()) ?? options.periodMs ?? Math.min(MAXIMUM_PERIOD_MS, Math.max(MINIMUM_PERIOD_MS, serverIndex.size() * PERIOD_PER_SERVER_MS))

  const readOwnZone = (): string => membership.self().availabilityZone

  const isSelf = (member: Member | undefined): boolean => member?.nodeId === membership.self().nodeId

  const getStore = (scope: 'node' | 'zone', group: string): SnapshotStore => {
    const known = stores[scope].get(group)
    if (known !== undefined) return known
    const store = createSnapshotStore(maximumAgeMs)
    stores[scope].set(group, store)
    return store
  }

  const listReceivedGroups = (scope: 'node' | 'zone'): readonly string[] =>
    [...stores[scope]].filter(([, store]) => store.size() > 0).map(([group]) => group)

  const createSnapshot = (scope: LoadSnapshot['scope'], source: string, group: string, { counts, unreadTokens, ageMs }: SnapshotSum): LoadSnapshot => {
    sequence += 1
    const { nodeId } = membership.self()
    return { scope, source, nodeId, group, sequence, ageMs: Math.round(ageMs), ...packLoadCounts(counts, unreadTokens) }
  }

  const deliver = (receiver: Member | undefined, snapshot: LoadSnapshot): void => {
    if (receiver === undefined) return
    if (isSelf(receiver)) return applySnapshot(snapshot)
    transport.send(receiver.address, { kind: 'loadSnapshot', snapshot })
  }

  const publishNode = (): void => {
    reportLostTotals()
    const counts = dependencies.readCounts()
    const unread = dependencies.readUnreadTokens?.() ?? new Map<string, number>()
    lastSent = new Map(counts)
    lastSentUnread = unread
    for (const [group, servers] of serverIndex.groups()) {
      const loaded = servers.filter(({ name }) => (counts.get(name) ?? 0) > 0)
      const sum: SnapshotSum = {
        ageMs: 0,
        counts: new Map(loaded.map(({ hash, name }) => [hash, counts.get(name) ?? 0])),
        unreadTokens: new Map(loaded.map(({ hash, name }) => [hash, unread.get(name) ?? 0]))
      }
      deliver(zoneRanking.rank(readOwnZone(), group)[0], createSnapshot('node', membership.self().nodeId, group, sum))
    }
  }

  /** Groups that this router sums, including groups whose servers only other routers know. */
  const listSummedGroups = (): readonly string[] => {
    const groups = new Set([...serverIndex.groups().keys(), ...listReceivedGroups('node'), ...listReceivedGroups('zone')])
    return [...groups].filter((group) => isSelf(zoneRanking.rank(readOwnZone(), group)[0]))
  }

  const publishZoneSum = (group: string): void => {
    const snapshot = createSnapshot('zone', readOwnZone(), group, getStore('node', group).sum(clock.now()))
    for (const routerZone of zoneRanking.zones()) deliver(zoneRanking.rank(routerZone, group)[0], snapshot)
  }

  const publishFleetSum = (group: string): void => {
    applySnapshot(createSnapshot('fleet', readOwnZone(), group, getStore('zone', group).sum(clock.now())))
  }

  /** Publishes the sums that were not published early in this period. */
  const publishRemaining = (scope: 'node' | 'zone', publish: (group: string) => void): void => {
    for (const group of listSummedGroups()) if (!publishedEarly[scope].delete(group)) publish(group)
  }

  const publishEarly = (scope: 'node' | 'zone', group: string, sources: number, publish: (group: string) => void): void => {
    if (getStore(scope, group).countNewSources() < sources || !isActive() || !isSelf(zoneRanking.rank(readOwnZone(), group)[0])) return
    publishedEarly[scope].add(group)
    publish(group)
  }

  const forward = (snapshot: LoadSnapshot): void => {
    const ranked = zoneRanking.rank(readOwnZone(), snapshot.group)
    const self = ranked.find(isSelf)
    if (self === undefined) return
    for (const receiver of selectForwardTargets(ranked, self, fanOut)) transport.send(receiver.address, { kind: 'loadSnapshot', snapshot })
  }

  const describeTotal = ({ at, snapshot, requests }: ReceivedTotal): LoadTotal => ({
    group: snapshot.group,
    sum: `${snapshot.nodeId}/${snapshot.sequence}`,
    ageMs: Math.round(clock.now() - at + (snapshot.ageMs ?? 0)),
    requests
  })

  const recordTotal = (total: ReceivedTotal): void => {
    const { group } = total.snapshot
    lastTotals.set(group, total)
    if (lostGroups.delete(group)) dependencies.logger?.info('load sums back', describeTotal(total))
  }

  /** Without totals, a node counts no requests of others and takes every backend server for idle. */
  const reportLostTotals = (): void => {
    for (const [group, total] of lastTotals) {
      if (clock.now() - total.at <= maximumAgeMs || lostGroups.has(group)) continue
      lostGroups.add(group)
      dependencies.logger?.warn('load sums lost', { ...describeTotal(total), expectedFrom: zoneRanking.rank(readOwnZone(), group)[0]?.nodeId })
    }
  }

  const applyFleetTotal = (snapshot: LoadSnapshot): void => {
    if (zoneRanking.rank(readOwnZone(), snapshot.group)[0]?.nodeId !== snapshot.nodeId) return
    const counts = unpackLoadCounts(snapshot)
    const unread = unpackUnreadTokens(snapshot)
    const total = { at: clock.now(), snapshot, requests: [...counts.values()].reduce((sum, count) => sum + count, 0) }
    recordTotal(total)
    for (const { name, hash } of serverIndex.groups().get(snapshot.group) ?? []) {
      // The total includes the counts that this node sent last; only the rest belongs to others.
      const inFlight = Math.max(0, (counts.get(hash) ?? 0) - (lastSent.get(name) ?? 0))
      const unreadTokens = Math.max(0, (unread.get(hash) ?? 0) - (lastSentUnread.get(name) ?? 0))
      othersByServer.set(name, { at: clock.now(), inFlight, unreadTokens, total })
      for (const listen of listeners) listen(name)
    }
    forward(snapshot)
  }

  const snapshotHandlers: Readonly<Record<LoadSnapshot['scope'], (snapshot: LoadSnapshot) => void>> = {
    node: (snapshot) => {
      getStore('node', snapshot.group).put(snapshot, clock.now())
      publishEarly('node', snapshot.group, zoneRanking.rank(readOwnZone(), snapshot.group).length, publishZoneSum)
    },
    zone: (snapshot) => {
      getStore('zone', snapshot.group).put(snapshot, clock.now())
      publishEarly('zone', snapshot.group, zoneRanking.zones().length, publishFleetSum)
    },
    fleet: applyFleetTotal
  }

  const applySnapshot = (snapshot: LoadSnapshot): void => snapshotHandlers[snapshot.scope](snapshot)

  const schedule = (stage: keyof typeof STAGE_STARTS, publish: () => void): void => {
    const periodMs = findPeriodMs()
    const phase = (clock.wallTime() - STAGE_STARTS[stage] * periodMs) % periodMs
    timers.set(stage, clock.setTimer(periodMs - phase, () => {
      if (isActive()) publish()
      schedule(stage, publish)
    }))
  }

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
        const { sum, ageMs } = describeTotal(others.total)
        return { sum, ageMs }
      },
      totals: () => [...lastTotals.values()].filter(({ at }) => clock.now() - at <= maximumAgeMs).map(describeTotal),
      onChange: (listener) => { listeners.push(listener) }
    },
    start: () => {
      transport.handle('loadSnapshot', ({ snapshot }) => {
        applySnapshot(snapshot)
        return { kind: 'none' }
      })
      schedule('node', publishNode)
      schedule('zone', () => publishRemaining('node', publishZoneSum))
      schedule('fleet', () => publishRemaining('zone', publishFleetSum))
    },
    stop: () => { for (const timer of timers.values()) timer.cancel() }
  }
}
