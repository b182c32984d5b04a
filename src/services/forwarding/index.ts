/**
 * Forwards each request of a caller until it has a final answer. The service selects the
 * route and the client account, and runs one timer that checks the deadlines and idle
 * times of all open requests; `createRequestHandler` handles a single request.
 */
import { createRequestHandler } from './_lib/createRequestHandler.js'
import type { RequestHandler, RequestHandlerContext } from './_lib/requestHandler.js'
import { createRefusedCallers } from './_lib/createRefusedCallers.js'
import { createRetryWindows } from './_lib/createRetryWindows.js'
import { createShutdownGate } from './_lib/createShutdownGate.js'
import { createStreamDurations } from './_lib/createStreamDurations.js'
import { createFirstByteTimes } from './_lib/createFirstByteTimes.js'
import { createTokenPace } from './_lib/createTokenPace.js'
import { findAccount } from './_lib/findAccount.js'
import type { RetryWindowLimits } from '../../decisions/grantRetry/index.js'
import { indexRoutes } from '../../decisions/indexRoutes/index.js'
import { orderDeferredRequests } from '../../decisions/orderDeferredRequests/index.js'
import type { DeferredRequest } from '../../decisions/orderDeferredRequests/index.js'
import { selectGatewayRoute } from '../../decisions/selectGatewayRoute/index.js'
import type { RunningService } from '../../kernel/index.js'
import type {
  BackendInstance, Clock, Forwarding, CallerSink, GatewayConfigurationHolder, GatewayRefusal, GatewayRequest, GatewayRoute, ImmediateAdmission, InstanceClient, InstanceRegistry,
  LoadView, Logger, Membership, Metrics, RandomSource, Timer, ZoneDrains
} from '../../types/index.js'
import type { InstanceHealth } from '../instanceHealth/index.js'
import type { InstanceNotices } from '../instanceNotices/index.js'
import type { PeerRelays } from '../peerRelays/index.js'
import type { PromptDirectory } from '../promptDirectory/index.js'
import type { PromptQuarantine } from '../promptQuarantine/index.js'
import type { ReachExchange } from '../reachExchange/index.js'
import type { RefusalLimiter } from '../refusalLimiter/index.js'
import type { ServerEnds } from '../serverEnds/index.js'
import type { ServerWork } from '../serverWork/index.js'
import type { StreamVersions } from '../streamVersions/index.js'
import type { WarmUpLimiter } from '../warmUpLimiter/index.js'

export type ForwardingDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly metrics: Metrics
  readonly configuration: GatewayConfigurationHolder
  readonly registry: InstanceRegistry
  readonly health: InstanceHealth
  readonly notices: InstanceNotices
  readonly reach: ReachExchange
  readonly relays: PeerRelays
  readonly directory: PromptDirectory
  readonly loadView: LoadView
  readonly membership: Pick<Membership, 'members'>
  readonly zoneDrains: Pick<ZoneDrains, 'isDrained' | 'isKnown' | 'onChange' | 'revision'>
  readonly warmUp: WarmUpLimiter
  readonly refusals: RefusalLimiter
  readonly work: ServerWork
  readonly streamVersions: Pick<StreamVersions, 'recordBegin' | 'find' | 'waitToBegin'>
  readonly serverEnds: Pick<ServerEnds, 'recordBreak' | 'recordBytes' | 'recordUnreachable'>
  readonly quarantine: Pick<PromptQuarantine, 'inspect' | 'claimTrial' | 'recordSound' | 'recordComplete'>
  readonly client: InstanceClient
  /** Queues of requests that wait for room; omitted where none ever waits. */
  readonly admission?: ImmediateAdmission
  /** Whether a backend server can begin the answer within `targetMs` milliseconds; by default while it has a free slot. */
  readonly hasRoom?: (instance: BackendInstance, request: GatewayRequest, targetMs: number) => boolean
}

/** What operators may change while the node runs. */
export type ForwardingBounds = {
  /** Highest load of a backend server, as a multiple of the mean load of its service. */
  readonly loadFactor: number
  readonly retryLimits: RetryWindowLimits
  /** A key whose validity was last confirmed longer ago than this is not accepted; in milliseconds. */
  readonly keyFreshnessMs: number
  /** A configuration confirmed longer ago than this is no proof that a route or key does not exist; in milliseconds. */
  readonly configurationFreshnessMs: number
  /** Whether requests wait in this node while no backend server has room; off by default. */
  readonly controlsAdmission?: boolean
}

/** A request that arrived before the node had its first configuration, server list and zone drains. */
type PendingRequest = { readonly request: GatewayRequest, readonly admitNow: () => void }

export type ForwardingOptions = {
  readonly nodeId: string
  /** CPU available to this node in thousandths of a core; a full core by default. */
  readonly millicores?: number
  readonly availabilityZone: string
  /** Region of each availability zone; empty by default. */
  readonly regionByZone?: ReadonlyMap<string, string>
  readonly readBounds: () => ForwardingBounds
  /** Number of nodes that may be running; `undefined` while unknown. */
  readonly countNodes: () => number | undefined
  /** Whether the fleet starts for the first time. */
  readonly isFirstStart: boolean
}

/** Longest delay in detecting a missed deadline or an idle exchange, in milliseconds; more timer wake-ups cost noticeable CPU on a VM with a third of a core. */
const TICK_MS = 50
/**
 * How long a request on a recently started node waits for the first configuration and
 * backend server list, in milliseconds. Both arrive within about 50 ms of the start,
 * while a refusal would cost the caller half a second.
 */
const INITIAL_STATE_WAIT_MS = 400
/** Time after the start in which a node defers requests until its initial state arrives, in milliseconds; later it refuses them. */
const STARTUP_MS = 1_500
/** Retry-After of a refusal because state is missing or stale, in milliseconds; the source is read again within that time. */
const MISSING_STATE_RETRY_AFTER_MS = 500

/** Requests of peers that a node with a full core has open at most. Its own callers' requests go on beside them. */
const RELAYED_REQUESTS_PER_CORE = 64
const MINIMUM_RELAYED_REQUESTS = 8
const MILLICORES_PER_CORE = 1_000
/** Retry-After of a refusal because of that limit, in milliseconds. */
const RELAY_LIMIT_RETRY_AFTER_MS = 250

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
  const pendingRequests = new Map<RequestHandler, PendingRequest>()
  const handlers = new Set<RequestHandler>()
  const retryWindows = createRetryWindows(dependencies, {
    readLimits: () => options.readBounds().retryLimits,
    countNodes: options.countNodes,
    isFirstStart: options.isFirstStart
  })
  const firstByteTimes = createFirstByteTimes()
  const tokenPace = createTokenPace()
  const streamDurations = createStreamDurations()
  const shutdownGate = createShutdownGate({ clock, tokenPace, streamDurations })
  let timer: Timer | undefined
  let index: ReadonlyMap<string, readonly GatewayRoute[]> | undefined

  // Built on first use: in a burst of configuration changes most versions are replaced before a request needs them.
  configuration.onChange(() => { index = undefined })

  const readIndex = (): ReadonlyMap<string, readonly GatewayRoute[]> => {
    index ??= indexRoutes(configuration.current()?.routes ?? [])
    return index
  }

  const isUpToDate = (): boolean => configuration.confirmedAgeMs() <= options.readBounds().configurationFreshnessMs

  /** A node whose configuration may be stale can't conclude that something does not exist. */
  const refuseUnknown = (refusal: GatewayRefusal): GatewayRefusal =>
    isUpToDate() ? refusal : { status: 503, reason: 'noConfiguration', retryAfterMs: MISSING_STATE_RETRY_AFTER_MS }

  const tick = (): void => {
    timer = handlers.size > 0 ? clock.setTimer(TICK_MS, tick) : undefined
    const now = clock.now()
    for (const handler of [...handlers]) handler.check(now)
  }

  const context: Omit<RequestHandlerContext, 'onDone'> = {
    ...dependencies,
    nodeId: options.nodeId,
    availabilityZone: options.availabilityZone,
    regionByZone: options.regionByZone ?? NO_REGIONS,
    readLoadFactor: () => options.readBounds().loadFactor,
    readKeyFreshnessMs: () => options.readBounds().keyFreshnessMs,
    readControlsAdmission: () => options.readBounds().controlsAdmission === true,
    refusedCallers: createRefusedCallers(clock),
    retryWindows,
    firstByteTimes,
    tokenPace,
    streamDurations,
    shutdownGate
  }

  const hasInitialState = (): boolean => configuration.current() !== undefined && registry.isKnown() && zoneDrains.isKnown()

  const admit = (handler: RequestHandler, request: GatewayRequest): void => {
    const current = configuration.current()
    if (current === undefined || !hasInitialState()) return handler.reject({ status: 503, reason: 'noConfiguration', retryAfterMs: MISSING_STATE_RETRY_AFTER_MS })
    const route = selectGatewayRoute(readIndex(), request.host, request.target)
    if (route === undefined) return handler.reject(refuseUnknown({ status: 404, reason: 'unknownRoute' }))
    const account = findAccount(current, route, request.credential)
    if (account === 'unknown') return handler.reject(refuseUnknown({ status: 401, reason: 'unknownKey' }))
    handler.assign(route, account)
  }

  /** Builds the values by which deferred requests are ordered. A request without a route gets a target of 0: it is refused, whatever its position. */
  const toOrderInput = ({ request, admitNow }: PendingRequest): DeferredRequest & Pick<PendingRequest, 'admitNow'> => {
    const route = selectGatewayRoute(readIndex(), request.host, request.target)
    const ageMs = clock.now() - request.receivedAt
    return {
      admitNow,
      timeToTargetMs: (route?.latencyTargetMs ?? 0) - ageMs,
      timeToDeadlineMs: Math.min(request.callerTimeoutMs ?? Infinity, route?.timeoutMs ?? Infinity) - ageMs,
      priority: route?.priority ?? Infinity
    }
  }

  const admitDeferred = (): void => {
    if (!hasInitialState()) return
    for (const { admitNow } of orderDeferredRequests([...pendingRequests.values()].map(toOrderInput))) admitNow()
  }

  configuration.onChange(admitDeferred)
  registry.onChange(admitDeferred)
  zoneDrains.onChange(admitDeferred)

  const deferRequest = (handler: RequestHandler, request: GatewayRequest): void => {
    const admitNow = (): void => {
      if (!pendingRequests.delete(handler)) return
      limit.cancel()
      admit(handler, request)
    }
    const limit = clock.setTimer(INITIAL_STATE_WAIT_MS, admitNow)
    pendingRequests.set(handler, { request, admitNow })
  }

  const maximumRelayed = Math.max(MINIMUM_RELAYED_REQUESTS, Math.round(RELAYED_REQUESTS_PER_CORE * (options.millicores ?? MILLICORES_PER_CORE) / MILLICORES_PER_CORE))
  let relayedRequests = 0

  const createHandler = (request: GatewayRequest, sink: CallerSink): RequestHandler => {
    const handler: RequestHandler = createRequestHandler({
      ...context,
      onDone: () => {
        handlers.delete(handler)
        if (request.relay !== undefined) relayedRequests -= 1
      }
    }, request, sink)
    handlers.add(handler)
    if (request.relay !== undefined) relayedRequests += 1
    return handler
  }

  const isStarting = (): boolean => clock.now() - startedAt < STARTUP_MS

  return {
    api: {
      begin: (request, sink) => {
        const handler = createHandler(request, sink)
        timer ??= clock.setTimer(TICK_MS, tick)
        if (request.relay !== undefined && relayedRequests > maximumRelayed) {
          handler.reject({ status: 503, reason: 'relayLimit', retryAfterMs: RELAY_LIMIT_RETRY_AFTER_MS })
          return handler
        }
        if (hasInitialState() || !isStarting()) admit(handler, request)
        else deferRequest(handler, request)
        return handler
      },
      openRequests: () => handlers.size,
      listOpen: () => [...handlers].map((handler) => handler.describe()),
      retryUsage: retryWindows.list,
      beginShutdown: shutdownGate.begin,
      endOpen: ({ keepsBegun } = { keepsBegun: false }) => { for (const handler of [...handlers]) handler.expire(keepsBegun) }
    },
    stop: () => timer?.cancel()
  }
}
