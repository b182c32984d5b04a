/**
 * Forwarding: each request of a caller to a final answer. The service checks
 * who asks and for what, and keeps one ticker for the deadlines and silences
 * of all open requests; `createRun` has the way of a single one.
 */
import { createRun } from './_lib/createRun.js'
import type { Run, RunContext } from './_lib/run.js'
import { createRepeatBudgets } from './_lib/createRepeatBudgets.js'
import { createStopGate } from './_lib/createStopGate.js'
import { createStreamDurations } from './_lib/createStreamDurations.js'
import { createTimeToFirstBytes } from './_lib/createTimeToFirstBytes.js'
import { createTokenPace } from './_lib/createTokenPace.js'
import { findAccount } from './_lib/findAccount.js'
import type { RepeatBudgetLimits } from '../../decisions/grantRepeat/index.js'
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
  /** No backend server over so many times the mean load of its service. */
  readonly loadFactor: number
  readonly repeatLimits: RepeatBudgetLimits
  /** A key that was surely valid longer ago than this is not used; in milliseconds. */
  readonly keyFreshnessMs: number
  /** A configuration confirmed longer ago than this can't say that a route or key does not exist; in milliseconds. */
  readonly configurationFreshnessMs: number
}

/** A request that came before the node knew anything. */
type Waiting = { readonly request: GatewayRequest, readonly admitNow: () => void }

export type ForwardingOptions = {
  readonly availabilityZone: string
  /** Region of each availability zone; empty by default. */
  readonly regionByZone?: ReadonlyMap<string, string>
  readonly readBounds: () => ForwardingBounds
}

/** Deadlines and silences are found this late at most, in milliseconds; a VM with a third of a core feels more wake-ups. */
const TICK_MS = 50
/**
 * How long a request waits on a node that has just started for its first
 * configuration and list, in milliseconds: both come within some 50 ms of the
 * start, and a refusal would cost its caller half a second.
 */
const FIRST_KNOWLEDGE_WAIT_MS = 400
/** For so long after its start a node expects its first knowledge at any moment, in milliseconds. */
const YOUNG_MS = 1_500
/** When to come back after a refusal for want of knowledge: a source is asked again within that time. */
const UNKNOWN_RETRY_MS = 500

const NO_REGIONS: ReadonlyMap<string, string> = new Map()

/**
 * Creates the service.
 *
 * @param dependencies - What the node knows, and how to reach backend servers.
 * @param options - Zone, budgets and freshness bounds.
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

  // Made when a request needs it: most versions of a storm are replaced before one does.
  configuration.onChange(() => { index = undefined })

  const readIndex = (): ReadonlyMap<string, readonly GatewayRoute[]> => {
    index ??= indexRoutes(configuration.current()?.routes ?? [])
    return index
  }

  const isUpToDate = (): boolean => configuration.confirmedAgeMs() <= options.readBounds().configurationFreshnessMs

  /** A node that may be behind can't say that something does not exist. */
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

  /** What is not known to be late goes by its goal; a request without a route is refused whenever its turn comes. */
  const toHeld = ({ request, admitNow }: Waiting): HeldRequest & Pick<Waiting, 'admitNow'> => {
    const route = selectGatewayRoute(readIndex(), request.host, request.target)
    const ageMs = clock.now() - request.receivedAt
    return {
      admitNow,
      goalLeftMs: (route?.goalMs ?? 0) - ageMs,
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
      beginStopping: stopGate.begin
    },
    stop: () => timer?.cancel()
  }
}
