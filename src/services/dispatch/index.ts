/**
 * Request pipeline of a node: authenticates the caller, finds the route, waits
 * for admission, chooses a backend server, retries after failures and returns
 * the final answer to the caller.
 */
import { createRefusal } from '../../decisions/createRefusal/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { CallerAnswer, CallerRequest, Dispatch } from '../../types/index.js'
import { createHintAuthenticator } from './_lib/createHintAuthenticator.js'
import { createLedger } from './_lib/createLedger.js'
import { createReachabilityProbes } from './_lib/createReachabilityProbes.js'
import { createReply, type Reply } from './_lib/createReply.js'
import { createRequestScope } from './_lib/createRequestScope.js'
import { createRetryAllowance } from './_lib/createRetryAllowance.js'
import { describeModels } from './_lib/describeModels.js'
import { indexConfiguration, type ConfigurationIndex } from './_lib/indexConfiguration.js'
import { authenticateCaller, MODELS_PATH, readRoutedRequest, type RoutedRequest } from './_lib/readRoutedRequest.js'
import type { DispatchDependencies, DispatchLimits, RequestContext } from './_lib/requestContext.js'
import { summarizeRefusal, runRequest, type RequestSummary } from './_lib/runRequest.js'

export type { DispatchDependencies } from './_lib/requestContext.js'

export type DispatchOptions = Partial<DispatchLimits> & {
  /** The secret that all routers share; the key of chat hints is derived from it. */
  readonly fleetKey: string
  /** Retries allowed per first attempt, for example 0.1. */
  readonly retryShare: number
  readonly maximumAttempts: number
}

const DEFAULT_LIMITS = {
  maximumResumes: 3,
  baseDelayMs: 50,
  maximumDelayMs: 1_000,
  answerBufferBytes: 8_388_608,
  reachabilityCheckMs: 1_000,
  defaultRetryAfterMs: 1_000
}

const isModelList = (request: CallerRequest): boolean =>
  request.method === 'GET' && request.path.split('?')[0] === MODELS_PATH

/**
 * Creates the dispatch service.
 *
 * Every accepted request ends in exactly one of three ways: a complete answer,
 * a refusal with the outcome "not-run", or a refusal with the outcome "unknown".
 * The ledger counts each of them, so that a lost request shows as an imbalance.
 *
 * @param dependencies - The services and the backend client that the pipeline uses.
 * @param options - Limits; times in milliseconds, sizes in bytes.
 * @returns The service for the kernel.
 *
 * @example
 * const { api: dispatch } = createDispatch(dependencies, { fleetKey, retryShare: 0.1, maximumAttempts: 3 })
 * const answer = await dispatch.handle(request, signal)
 */
export const createDispatch = (dependencies: DispatchDependencies, options: DispatchOptions): RunningService<Dispatch> => {
  const { clock, metrics } = dependencies
  const { fleetKey, retryShare, ...given } = options
  const limits: DispatchLimits = { ...DEFAULT_LIMITS, ...given }
  const hintAuthenticator = createHintAuthenticator(fleetKey)
  const retryAllowance = createRetryAllowance(retryShare)
  const reachabilityProbes = createReachabilityProbes(clock, dependencies.backendClient, limits.reachabilityCheckMs)
  const ledger = createLedger(dependencies.clock)

  const run = async (routed: RoutedRequest, callerSignal: AbortSignal, reply: Reply): Promise<RequestSummary> => {
    const scope = createRequestScope(dependencies.clock, routed.deadlineMs, callerSignal)
    const context: RequestContext = { dependencies, limits, hintAuthenticator, retryAllowance, reachabilityProbes, routed, scope, reply }
    try {
      return await runRequest(context)
    } catch (error) {
      // A broken invariant fails this request only: its caller gets a refusal, other requests go on.
      dependencies.logger.error('a request failed inside the router', { requestId: routed.request.requestId, error: String(error) })
      const refusal = createRefusal('unknown', 'backendFailed', 'the router failed')
      reply.refuse(refusal)
      return summarizeRefusal(refusal)
    } finally {
      scope.close()
    }
  }

  const openRequest = (): ((summary: RequestSummary) => void) => {
    const settle = ledger.open()
    const startedAt = clock.now()
    metrics.count('requests_accepted')
    return ({ outcome, reason }) => {
      settle(outcome)
      metrics.count('requests_finished', { outcome, reason })
      metrics.observe('request_duration_seconds', (clock.now() - startedAt) / 1_000, { outcome })
    }
  }

  const handleWithIndex = (index: ConfigurationIndex, request: CallerRequest, callerSignal: AbortSignal, finish: (summary: RequestSummary) => void): CallerAnswer | Promise<CallerAnswer> => {
    if (isModelList(request) && authenticateCaller(index, request) !== undefined) {
      finish({ outcome: 'complete', reason: 'none' })
      return describeModels(index)
    }
    const routed = readRoutedRequest(index, request)
    if (!routed.ok) {
      finish(summarizeRefusal(routed.error))
      return { kind: 'refused', refusal: routed.error }
    }
    const reply = createReply()
    run(routed.value, callerSignal, reply).then(finish)
    return reply.answer
  }

  const handle: Dispatch['handle'] = async (request, signal) => {
    const finish = openRequest()
    const configuration = dependencies.configuration.current()
    if (configuration !== undefined) return await handleWithIndex(indexConfiguration(configuration), request, signal, finish)
    const refusal = createRefusal('not-run', 'noConfiguration', 'no configuration is in force here yet', limits.defaultRetryAfterMs)
    finish(summarizeRefusal(refusal))
    return { kind: 'refused', refusal }
  }

  return { api: { handle, ledger: ledger.read, oldestOpenMs: ledger.oldestOpenMs, whenIdle: ledger.whenIdle } }
}
