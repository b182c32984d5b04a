/**
 * Forwards each request of a caller until it has a final answer. The service selects the
 * route and the client account, and runs one timer that checks the deadlines and idle
 * times of all open requests; `createRun` handles a single request.
 */
import { createRun } from './_lib/createRun.js'
import type { Run, RunContext } from './_lib/run.js'
import { createRepeatBudgets } from './_lib/createRepeatBudgets.js'
import { createStopGate } from './_lib/createStopGate.js'
import { createStreamDurations } from './_lib/createStreamDurations.js'
import { createTimeToFirstBytes } from './_lib/createTimeToFirstBytes.js'
import { createTokenPace } from './_lib/createTokenPace.js'
import { findAccount } from './_lib/findAccount.js'
import type { RetryWindowLimits } from '../../decisions/grantRetry/index.js'
import { indexRoutes } from '../../decisions/indexRoutes/index.js'
import { orderHeld } from '../../decisions/orderHeld/index.js'
import type { HeldRequest } from '../../decisions/orderHeld/index.js'
import { selectGatewayRoute } from '../../decisions/selectGatewayRoute/index.js'
import type { RunningService } from '../../kernel/index.js'
import type {
  Clock, Forwarding, GatewayConfigurationHolder, GatewayRefusal, GatewayRequest, GatewayRoute, InstanceClient, InstanceRegistry,
  LoadView, Logger, Membership, Metrics, RandomSource, Timer, ZoneDrains
} from '../../types/index.js'
import type { InstanceHealth } from '../instanceHealth/index.js'
import type { PromptDirectory } from '../promptDirectory/index.js'
import type { WarmUp } from '../warmUp/index.js'

export type ForwardingDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly metrics: Metrics
  readonly configuration: GatewayConfigurationHolder
  readonly registry: InstanceRegistry
  readonly health: InstanceHealth
  readonly directory: PromptDirectory
  readonly loadView: LoadView
  readonly membership: Pick<Membership, 'members'>
  readonly zoneDrains: Pick<ZoneDrains, 'isDrained' | 'isKnown' | 'onChange' | 'revision'>
  readonly warmUp: WarmUp
  readonly client: InstanceClient
}

/** What operators may change while the node runs. */
export type ForwardingBounds = {
  /** Highest load of a backend server, as a multiple of the mean load of its service. */
  readonly loadFactor: number
  readonly repeatLimits: RetryWindowLimits
  /** A key whose validity was last confirmed longer ago than this is not accepted; in milliseconds. */
  readonly keyFreshnessMs: number
  /** A configuration confirmed longer ago than this is no proof that a route or key does not exist; in milliseconds. */
  readonly configurationFreshnessMs: number
}

/** A request that arrived before the node had its first configuration, server list and zone drains. */
type Waiting = { readonly request: GatewayRequest, readonly admitNow: () => void }

export type ForwardingOptions = {
  readonly availabilityZone: string
  /** Region of each availability zone; empty by default. */
  readonly regionByZone?: ReadonlyMap<string, string>
  readonly readBounds: () => ForwardingBounds
}

/** Longest delay in detecting a missed deadline or an idle exchange, in milliseconds; more timer wake-ups cost noticeable CPU on a VM with a third of a core. */
const TICK_MS = 50
/**
 * How long a request on a recently started node waits for the first configuration and
 * backend server list, in milliseconds. Both arrive within about 50 ms of the start,
 * while a refusal would cost the caller half a second.
 */
const FIRST_KNOWLEDGE_WAIT_MS = 400
/** Time after the start in which a node defers requests until its initial state arrives, in milliseconds; later it refuses them. */
const YOUNG_MS = 1_500
/** Retry-After of a refusal because state is missing or stale, in milliseconds; the source is read again within that time. */
const UNKNOWN_RETRY_MS = 500

const NO_REGIONS: ReadonlyMap<string, string> = new Map()

/**
 * Creates the service.
 *
 * @param dependencies - State of the node, and the client for backend servers.
 * @param options - Availability zone, regions and the bounds that operators may change.
 * @returns The service for the kernel.
 *
 * @example
 * const forwarding = createForwarding(dependencies, options)
 * forwarding.api.openRequests() // => 0
 */
export const createForwarding = (dependencies: ForwardingDependencies, options: ForwardingOptions): RunningService<Forwarding> => {
  const { clock, configuration, registry, zoneDrains } = dependencies
  const startedAt = clock.now()
  const waitingForKnowledge = new Map<Run, Waiting>()
  const runs = new Set<Run>()
  const budgets = createRepeatBudgets(() => options.readBounds().repeatLimits, () => dependencies.membership.members().length, clock)
  const usualTimes = createTimeToFirstBytes()
  const tokenPace = createTokenPace()
  const streamDurations = createStreamDurations()
  const stopGate = createStopGate({ clock, tokenPace, streamDurations })
  let timer: Timer | undefined
  let index: ReadonlyMap<string, readonly GatewayRoute[]> | undefined

  // Built on first use: in a burst of configuration changes most versions are replaced before a request needs them.
  configuration.onChange(() => { index = undefined })

  const readIndex = (): ReadonlyMap<string, readonly GatewayRoute[]> => {
    index ??= indexRoutes(configuration.current()?.routes ?? [])
    return index
  }

  const isUpToDate = (): boolean => configuration.confirmedAgeMs() <= options.readBounds().configurationFreshnessMs

  /** A node whose configuration may be stale can't tell that something does not exist. */
  const refuseUnknown = (refusal: GatewayRefusal): GatewayRefusal =>
    isUpToDate() ? refusal : { status: 503, reason: 'noConfiguration', retryAfterMs: UNKNOWN_RETRY_MS }

  const tick = (): void => {
    timer = runs.size > 0 ? clock.setTimer(TICK_MS, tick) : undefined
    const now = clock.now()
    for (const run of [...runs]) run.check(now)
  }

  const context: Omit<RunContext, 'onDone'> = {
    ...dependencies,
    availabilityZone: options.availabilityZone,
    regionByZone: options.regionByZone ?? NO_REGIONS,
    readLoadFactor: () => options.readBounds().loadFactor,
    readKeyFreshnessMs: () => options.readBounds().keyFreshnessMs,
    budgets,
    usualTimes,
    tokenPace,
    streamDurations,
    stopGate
  }

  const isKnowing = (): boolean => configuration.current() !== undefined && registry.isKnown() && zoneDrains.isKnown()

  const admit = (run: Run, request: GatewayRequest): void => {
    const current = configuration.current()
    if (current === undefined || !isKnowing()) return run.reject({ status: 503, reason: 'noConfiguration', retryAfterMs: UNKNOWN_RETRY_MS })
    const route = selectGatewayRoute(readIndex(), request.host, request.target)
    if (route === undefined) return run.reject(refuseUnknown({ status: 404, reason: 'unknownRoute' }))
    const account = findAccount(current, route, request.credential)
    if (account === 'unknown') return run.reject(refuseUnknown({ status: 401, reason: 'unknownKey' }))
    run.assign(route, account)
  }

  /** Input of the order in which deferred requests are sent. A request without a route gets a target of 0: it is refused whenever its turn comes. */
  const toHeld = ({ request, admitNow }: Waiting): HeldRequest & Pick<Waiting, 'admitNow'> => {
    const route = selectGatewayRoute(readIndex(), request.host, request.target)
    const ageMs = clock.now() - request.receivedAt
    return {
      admitNow,
      goalLeftMs: (route?.latencyTargetMs ?? 0) - ageMs,
      deadlineLeftMs: Math.min(request.callerTimeoutMs ?? Infinity, route?.timeoutMs ?? Infinity) - ageMs,
      priority: route?.priority ?? Infinity
    }
  }

  const admitWaiting = (): void => {
    if (!isKnowing()) return
    for (const { admitNow } of orderHeld([...waitingForKnowledge.values()].map(toHeld))) admitNow()
  }

  configuration.onChange(admitWaiting)
  registry.onChange(admitWaiting)
  zoneDrains.onChange(admitWaiting)

  const admitLater = (run: Run, request: GatewayRequest): void => {
    const admitNow = (): void => {
      if (!waitingForKnowledge.delete(run)) return
      limit.cancel()
      admit(run, request)
    }
    const limit = clock.setTimer(FIRST_KNOWLEDGE_WAIT_MS, admitNow)
    waitingForKnowledge.set(run, { request, admitNow })
  }

  const isYoung = (): boolean => clock.now() - startedAt < YOUNG_MS

  return {
    api: {
      begin: (request, sink) => {
        const run = createRun({ ...context, onDone: () => { runs.delete(run) } }, request, sink)
        runs.add(run)
        timer ??= clock.setTimer(TICK_MS, tick)
        if (isKnowing() || !isYoung()) admit(run, request)
        else admitLater(run, request)
        return run
      },
      openRequests: () => runs.size,
      beginShutdown: stopGate.begin
    },
    stop: () => timer?.cancel()
  }
}
