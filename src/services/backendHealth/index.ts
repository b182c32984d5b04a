/**
 * Tracks the health of backend servers and decides which of them may get new requests. A
 * server is leaving as soon as one source reports it; a server that fails is ejected for a
 * while and returns with a slow start.
 */
import { createLeavingMarkSet } from './_lib/createLeavingMarkSet.js'
import { createProbes } from './_lib/createProbes.js'
import { advanceEjection, computeWeightShare, createEjection } from '../../decisions/advanceEjection/index.js'
import type { Ejection, EjectionEvent, EjectionLimits } from '../../decisions/advanceEjection/index.js'
import { limitEjections } from '../../decisions/limitEjections/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { HeartbeatExchange } from '../heartbeatExchange/index.js'
import type { VmList } from '../vmList/index.js'
import type {
  BackendClient, BackendError, BackendHealth, BackendServer, BackendServerState, BackendServerStatus, Clock, ConfigurationHolder,
  LeavingSource, LoadReport, LoadView, Logger, Membership, Metrics, PlannedStop, RandomSource, Result, RouterSettings, Timer, Vm
} from '../../types/index.js'

export type BackendHealthDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly backendClient: Pick<BackendClient, 'readLoad'>
  readonly configuration: Pick<ConfigurationHolder, 'current' | 'onChange'>
  readonly loadView: Pick<LoadView, 'estimateInFlight' | 'ownInFlight' | 'applyReport'>
  readonly membership: Pick<Membership, 'liveMembers' | 'onChange'>
  readonly exchange: HeartbeatExchange
  readonly vmList: VmList
  readonly logger?: Logger
  readonly metrics?: Metrics
}

export type BackendHealthOptions = {
  readonly settings: Pick<RouterSettings, 'nodeId' | 'loadReportIntervalMs' | 'connectTimeoutMs'>
  readonly limits?: EjectionLimits
  /** Share of a service's reachable slots that may be ejected at once. */
  readonly maximumEjectedShare?: number
  readonly probesPerSecond?: number
}

/** `publishesExcess` is for the load view: true when this node is the first prober of a server. */
export type RunningBackendHealth = RunningService<BackendHealth> & { readonly publishesExcess: (backendServer: string) => boolean }

export const DEFAULT_EJECTION_LIMITS: EjectionLimits = {
  failures: 3,
  failedConnections: 2,
  unansweredProbes: 3,
  failureRate: 0.4,
  holdMs: 1000,
  maximumHoldMs: 60_000,
  slowStartMs: 10_000,
  forgetAfterMs: 120_000
}

const DEFAULT_MAXIMUM_EJECTED_SHARE = 0.5
const DEFAULT_PROBES_PER_SECOND = 3
const TICK_MS = 250
const RESEND_MARKS_MS = 5000
/** Milliseconds after which a source that contradicts its own leaving mark clears it. The VM list lags by seconds; a server's own report is read in each interval. */
const CLEAR_AFTER_MS: Readonly<Record<LeavingSource, number>> = { vmList: 30_000, backendServer: 5000 }

/** Ejection event of each kind of failed read. Only the time-out cancels a read, so a cancelled read counts as unanswered. */
const PROBE_EVENTS: Readonly<Record<BackendError['kind'], EjectionEvent>> = { notSent: 'notSent', noAnswer: 'probeUnanswered', cancelled: 'probeUnanswered' }

const isInForce = (stop: PlannedStop, wallTime: number): boolean =>
  wallTime >= stop.startsAt && (stop.endsAt === undefined || wallTime < stop.endsAt)

const covers = (stop: PlannedStop, backendServer: string, zone: string | undefined): boolean =>
  stop.availabilityZone === undefined ? stop.backendServer === backendServer : stop.availabilityZone === zone

/**
 * Creates the health service of one node.
 *
 * @param dependencies - Clock, random source, backend client and the services that it uses.
 * @param options - Settings and limits; times in milliseconds.
 * @returns The service for the kernel, which probes from its start to its stop.
 *
 * @example
 * const { api } = createBackendHealth(dependencies, { settings })
 * api.status('engine-1').state // => 'live'
 */
export const createBackendHealth = (dependencies: BackendHealthDependencies, options: BackendHealthOptions): RunningBackendHealth => {
  const { clock, random, configuration, loadView, membership, exchange, vmList, logger, metrics } = dependencies
  const { settings } = options
  const limits = options.limits ?? DEFAULT_EJECTION_LIMITS
  const maximumShare = options.maximumEjectedShare ?? DEFAULT_MAXIMUM_EJECTED_SHARE
  const ejections = new Map<string, Ejection>()
  const markSet = createLeavingMarkSet({ clearAfterMs: CLEAR_AFTER_MS, resendMs: RESEND_MARKS_MS })
  let ejectedServers: ReadonlySet<string> | undefined
  let timer: Timer | undefined
  let isAssignmentStale = true

  const listServers = (): readonly BackendServer[] => configuration.current()?.sheet.backendServers ?? []

  const advance = (backendServer: string, event: EjectionEvent): void => {
    const before = ejections.get(backendServer) ?? createEjection()
    const after = advanceEjection(before, event, clock.now(), limits)
    if (after === before) return
    ejections.set(backendServer, after)
    if (after.phase === before.phase) return
    ejectedServers = undefined
    logger?.info('backend server changed', { backendServer, phase: after.phase, cause: after.cause, ejections: after.ejections })
  }

  const hasPlannedStop = (backendServer: string): boolean => {
    const stops = configuration.current()?.sheet.plannedStops ?? []
    if (stops.length === 0) return false
    const zone = listServers().find(({ name }) => name === backendServer)?.availabilityZone
    return stops.some((stop) => covers(stop, backendServer, zone) && isInForce(stop, clock.wallTime()))
  }

  const isLeaving = (backendServer: string): boolean => markSet.isLeaving(backendServer) || hasPlannedStop(backendServer)

  const selectEjected = (): ReadonlySet<string> => {
    const servers = listServers().filter((server) => !isLeaving(server.name))
    const services = [...new Set(servers.map((server) => server.service))]
    return new Set(services.flatMap((service) => [...limitEjections(servers.filter((server) => server.service === service).map(toCandidate), maximumShare)]))
  }

  const toCandidate = ({ name, slots }: BackendServer) => {
    const ejection = ejections.get(name) ?? createEjection()
    return { backendServer: name, slots, isEjected: ejection.phase === 'ejected', isUnreachable: ejection.cause === 'unreachable', since: ejection.since }
  }

  const findState = (backendServer: string, ejection: Ejection): BackendServerState => {
    if (isLeaving(backendServer)) return 'leaving'
    if (ejection.phase !== 'ejected') return ejection.phase
    ejectedServers ??= selectEjected()
    if (!ejectedServers.has(backendServer)) return 'live'
    return ejection.cause === 'unreachable' ? 'unreachable' : 'ejected'
  }

  const readStatus = (backendServer: string): BackendServerStatus => {
    const ejection = advanceEjection(ejections.get(backendServer) ?? createEjection(), 'tick', clock.now(), limits)
    const state = findState(backendServer, ejection)
    const shares: Readonly<Record<BackendServerState, number>> = {
      live: 1, slowStart: computeWeightShare(ejection, clock.now(), limits), ejected: 0, unreachable: 0, leaving: 0
    }
    return {
      backendServer,
      state,
      weightShare: shares[state],
      inFlight: loadView.estimateInFlight(backendServer),
      ownInFlight: loadView.ownInFlight(backendServer)
    }
  }

  const observe = (backendServer: string, source: LeavingSource, leaving: boolean, ageMs = 0): void => {
    markSet.observe({ backendServer, source, leaving, observedAt: clock.now() - ageMs, wallTime: clock.wallTime() })
    ejectedServers = undefined
  }

  const onReport = (server: BackendServer, result: Result<LoadReport, BackendError>): void => {
    metrics?.count('load_probes', { outcome: result.ok ? 'complete' : result.error.kind })
    advance(server.name, result.ok ? 'probeAnswered' : PROBE_EVENTS[result.error.kind])
    if (!result.ok) return
    observe(server.name, 'backendServer', result.value.leaving, result.value.ageMs)
    loadView.applyReport(server.name, result.value)
  }

  const onVms = (vms: readonly Vm[]): void => {
    const byAddress = new Map(vms.filter((vm) => vm.kind === 'backendServer').map((vm) => [vm.address, vm]))
    for (const server of listServers()) {
      const vm = byAddress.get(server.url)
      // The VM list lags, so a server that is missing on it may be new: that is no observation.
      if (vm !== undefined) observe(server.name, 'vmList', vm.state === 'leaving')
    }
  }

  const probes = createProbes({ clock, random, backendClient: dependencies.backendClient, onReport }, {
    nodeId: settings.nodeId,
    intervalMs: settings.loadReportIntervalMs,
    timeoutMs: settings.connectTimeoutMs,
    probesPerSecond: options.probesPerSecond ?? DEFAULT_PROBES_PER_SECOND
  })

  const markAssignmentStale = (): void => { isAssignmentStale = true }

  // Assigned once in each tick: a burst of changes, as when a zone is lost, costs one assignment in all.
  const assignProbes = (): void => {
    if (!isAssignmentStale) return
    isAssignmentStale = false
    probes.assign(listServers(), membership.liveMembers())
  }

  const tick = (): void => {
    for (const backendServer of ejections.keys()) advance(backendServer, 'tick')
    // Planned stops begin and end by the clock alone.
    ejectedServers = undefined
    assignProbes()
    timer = clock.setTimer(TICK_MS, tick)
  }

  const onConfiguration = (): void => {
    const names = new Set(listServers().map((server) => server.name))
    for (const backendServer of ejections.keys()) if (!names.has(backendServer)) ejections.delete(backendServer)
    ejectedServers = undefined
    markAssignmentStale()
    const vms = vmList.current()
    if (vms !== undefined) onVms(vms)
  }

  const mergeLeavingMarks: BackendHealth['mergeLeavingMarks'] = (marks) => {
    for (const mark of marks) markSet.merge(mark, clock.now())
    ejectedServers = undefined
  }

  return {
    publishesExcess: probes.isFirst,
    api: {
      status: readStatus,
      statuses: () => listServers().map((server) => readStatus(server.name)),
      recordAttempt: (backendServer, outcome) => advance(backendServer, outcome),
      markLeaving: (backendServer) => observe(backendServer, 'backendServer', true),
      leavingMarks: markSet.marks,
      mergeLeavingMarks
    },
    start: () => {
      exchange.addContributor(() => {
        const leavingMarks = markSet.selectForHeartbeat(clock.now())
        return leavingMarks.length === 0 ? {} : { leavingMarks }
      })
      exchange.addListener((heartbeat) => mergeLeavingMarks(heartbeat.leavingMarks ?? []))
      configuration.onChange(onConfiguration)
      membership.onChange(markAssignmentStale)
      vmList.onRead(onVms)
      onConfiguration()
      tick()
    },
    stop: () => {
      timer?.cancel()
      probes.stop()
    }
  }
}
