/**
 * Tracks the health of each backend server as seen in this node's own exchanges: its
 * health state, and how long it has sent nothing while requests wait there.
 */
import { advanceInstanceHealth, initialInstanceHealth } from '../../decisions/advanceInstanceHealth/index.js'
import { judgePartition, type Partition, type UnreachableServer } from '../../decisions/judgePartition/index.js'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import type { InstanceHealthEvent, InstanceHealthState } from '../../decisions/advanceInstanceHealth/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { BackendInstance, Clock, InstanceClient, Logger, Timer } from '../../types/index.js'

export type InstanceHealthDependencies = {
  readonly clock: Clock
  readonly logger: Logger
  readonly client: Pick<InstanceClient, 'probe'>
  /** Whether a server accepts probes of this node now; asked before every probe. */
  readonly mayProbe: (instance: BackendInstance) => boolean
}

export type InstanceHealth = {
  /** A request was sent to the server. */
  readonly recordStart: (instance: BackendInstance) => void
  /** A request at the server has ended, whatever its outcome. */
  readonly recordEnd: (instance: BackendInstance) => void
  /** Bytes arrived from the server, on any exchange. */
  readonly recordBytes: (instance: BackendInstance) => void
  readonly record: (instance: BackendInstance, event: InstanceHealthEvent) => void
  /** Whether the server is suspended, by itself or with its zone or all servers: it gets no requests while others are left. */
  readonly isSuspended: (instance: BackendInstance) => boolean
  /** Milliseconds since bytes last arrived from the server, while a request waits there; 0 when none does. */
  readonly readIdleMs: (instance: BackendInstance) => number
  /** Milliseconds since this node last received anything from any server, or a connection to one succeeded. */
  readonly readUnheardMs: () => number
  /** Returns a function that computes the cost of a request at a server as a multiple of the median of `peers`; at least 1. */
  readonly compareWith: (peers: readonly BackendInstance[]) => (instance: BackendInstance) => number
  /** Drops the state of all servers but those with the given keys. */
  readonly retain: (live: ReadonlySet<string>) => void
}

type Activity = { openRequests: number, idleSince: number }

/** Interval, in milliseconds, between checks for servers to probe: those whose suspension time has passed and that were not reached since. */
const PROBE_TICK_MS = 200
/** Longest time in milliseconds for which a judgement of the partition is reused. */
const JUDGE_INTERVAL_MS = 20
/** Slowness, and error share above the median, that add no cost: normal answers vary by as much. */
const TOLERATED_SLOWNESS = 1.6
const TOLERATED_ERROR_SHARE = 0.12
/** Cost of an error share of 1, in units of slowness: a failed request is lost or sent twice. */
const ERROR_WEIGHT = 12

const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[sorted.length >> 1] ?? 0
}

/**
 * Creates the health service of one node.
 *
 * When several servers of a zone are unreachable and nothing arrives from the others, the
 * zone counts as partitioned, and this node itself when that holds for servers of several
 * zones. Then all the servers concerned are suspended at once; otherwise a request would
 * have to time out at each of them. Suspended servers are probed with connections that
 * carry no request.
 *
 * @param dependencies - Clock, logger, a client that probes connections, and which servers may be probed.
 * @returns The service for the kernel, without any observations yet.
 *
 * @example
 * createInstanceHealth({ clock, logger, client, mayProbe }).api.isSuspended(instance) // => false
 */
export const createInstanceHealth = (dependencies: InstanceHealthDependencies): RunningService<InstanceHealth> => {
  const { clock, logger, client, mayProbe } = dependencies
  const states = new Map<string, InstanceHealthState>()
  const activities = new Map<string, Activity>()
  const unreachable = new Map<string, UnreachableServer>()
  const awaitingProbe = new Map<string, BackendInstance>()
  const probing = new Set<string>()
  let heardAt = clock.now()
  let judged: { readonly at: number, readonly partition: Partition } | undefined
  let loggedZones: ReadonlySet<string> = new Set()
  let timer: Timer | undefined
  let isStopped = false

  const readState = (instance: BackendInstance): InstanceHealthState => states.get(formatInstanceKey(instance)) ?? initialInstanceHealth

  const getActivity = (instance: BackendInstance): Activity => {
    const key = formatInstanceKey(instance)
    const known = activities.get(key)
    if (known !== undefined) return known
    const created = { openRequests: 0, idleSince: clock.now() }
    activities.set(key, created)
    return created
  }

  const recordZoneReached = ({ availabilityZone }: BackendInstance): void => {
    heardAt = clock.now()
    if (unreachable.size === 0) return
    judged = undefined
    for (const [key, server] of unreachable) if (server.availabilityZone === availabilityZone) unreachable.delete(key)
  }

  const recordUnreachable = (instance: BackendInstance): void => {
    const key = formatInstanceKey(instance)
    if (unreachable.has(key)) return
    judged = undefined
    unreachable.set(key, { availabilityZone: instance.availabilityZone, since: clock.now() })
  }

  /** Judged anew when a server was reached or lost, and otherwise at intervals: requests ask for each of hundreds of servers. */
  const readPartition = (): Partition => {
    const now = clock.now()
    if (judged === undefined || now - judged.at >= JUDGE_INTERVAL_MS) judged = { at: now, partition: judgePartition([...unreachable.values()], heardAt, now) }
    return judged.partition
  }

  const isPartitioned = ({ availabilityZone }: BackendInstance): boolean => {
    if (unreachable.size === 0) return false
    const { zones, isCutOff } = readPartition()
    return isCutOff || zones.has(availabilityZone)
  }

  const logPartition = (): void => {
    const { zones } = readPartition()
    for (const zone of zones) if (!loggedZones.has(zone)) logger.warn('availability zone held', { zone, unheardMs: Math.round(clock.now() - heardAt) })
    loggedZones = zones
  }

  const isInstanceSuspended = (instance: BackendInstance): boolean => {
    const state = readState(instance)
    return state.suspendedUntil > clock.now() || state.needsProbe
  }

  const computeMedianState = (peers: readonly BackendInstance[]): Pick<InstanceHealthState, 'errorShare' | 'slowness'> => {
    const all = peers.map(readState)
    return { errorShare: median(all.map(({ errorShare }) => errorShare)), slowness: Math.max(1, median(all.map(({ slowness }) => slowness))) }
  }

  const record = (instance: BackendInstance, event: InstanceHealthEvent): void => {
    const wasSuspended = isInstanceSuspended(instance)
    const before = readState(instance)
    const after = advanceInstanceHealth(before, event, clock.now())
    states.set(formatInstanceKey(instance), after)
    if (event.kind === 'unreachable' || event.kind === 'silent') recordUnreachable(instance)
    if (event.kind === 'reached' || event.kind === 'answered') recordZoneReached(instance)
    if (after.needsProbe) scheduleProbe(instance)
    else awaitingProbe.delete(formatInstanceKey(instance))
    const isSuspended = isInstanceSuspended(instance)
    if (isSuspended && !wasSuspended) logger.warn('backend server held', { backendServer: instance.id, service: instance.service, event: event.kind, failures: after.consecutiveFailures, holdMs: Math.round(after.suspendedUntil - clock.now()) })
    if (wasSuspended && !isSuspended) logger.info('backend server back', { backendServer: instance.id, service: instance.service, event: event.kind })
  }

  const probe = async (key: string, instance: BackendInstance): Promise<void> => {
    probing.add(key)
    const isReached = await client.probe(instance)
    probing.delete(key)
    if (isStopped || !awaitingProbe.has(key)) return
    record(instance, { kind: isReached ? 'reached' : 'unreachable' })
  }

  const probeDue = (): void => {
    timer = undefined
    logPartition()
    const now = clock.now()
    for (const [key, instance] of awaitingProbe) {
      if (!probing.has(key) && readState(instance).suspendedUntil <= now && mayProbe(instance)) probe(key, instance)
    }
    if (awaitingProbe.size > 0 && !isStopped) timer = clock.setTimer(PROBE_TICK_MS, probeDue)
  }

  const scheduleProbe = (instance: BackendInstance): void => {
    awaitingProbe.set(formatInstanceKey(instance), instance)
    timer ??= clock.setTimer(PROBE_TICK_MS, probeDue)
  }

  const api: InstanceHealth = {
    recordStart: (instance) => {
      const activity = getActivity(instance)
      if (activity.openRequests === 0) activity.idleSince = clock.now()
      activity.openRequests += 1
    },
    recordEnd: (instance) => { getActivity(instance).openRequests -= 1 },
    recordBytes: (instance) => {
      getActivity(instance).idleSince = clock.now()
      recordZoneReached(instance)
    },
    record,
    isSuspended: (instance) => isInstanceSuspended(instance) || isPartitioned(instance),
    readIdleMs: (instance) => {
      const activity = getActivity(instance)
      return activity.openRequests > 0 ? clock.now() - activity.idleSince : 0
    },
    readUnheardMs: () => clock.now() - heardAt,
    compareWith: (peers) => {
      let medianState: Pick<InstanceHealthState, 'errorShare' | 'slowness'> | undefined
      return (instance) => {
        const state = readState(instance)
        if (state.slowness < TOLERATED_SLOWNESS && state.errorShare < TOLERATED_ERROR_SHARE) return 1
        medianState ??= computeMedianState(peers)
        const relative = state.slowness / medianState.slowness
        const slowness = relative < TOLERATED_SLOWNESS ? 1 : relative
        const errors = Math.max(0, state.errorShare - medianState.errorShare - TOLERATED_ERROR_SHARE)
        return slowness + ERROR_WEIGHT * errors
      }
    },
    retain: (live) => {
      for (const key of states.keys()) if (!live.has(key)) states.delete(key)
      for (const [key, activity] of activities) if (!live.has(key) && activity.openRequests === 0) activities.delete(key)
      for (const key of awaitingProbe.keys()) if (!live.has(key)) awaitingProbe.delete(key)
      for (const key of unreachable.keys()) if (!live.has(key)) unreachable.delete(key)
    }
  }

  return {
    api,
    stop: () => {
      isStopped = true
      timer?.cancel()
    }
  }
}
