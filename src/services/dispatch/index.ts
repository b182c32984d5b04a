/**
 * The way of every request through the node: who asks, along which route, may
 * it run now, on which backend server, what follows a failure, and what the
 * caller is told in the end.
 */
import { describeRefusal } from '../../decisions/describeRefusal/index.js'
import type { CallerAnswer, CallerRequest, Dispatch } from '../../types/index.js'
import { createHintAuthenticator } from './_lib/createAuthenticator.js'
import { createLedger, type RequestFate } from './_lib/createLedger.js'
import { createReply, type Reply } from './_lib/createReply.js'
import { createRequestScope } from './_lib/createRequestScope.js'
import { createRetryAllowance } from './_lib/createRetryAllowance.js'
import { describeModels } from './_lib/describeModels.js'
import { indexConfiguration, type ConfigurationIndex } from './_lib/indexConfiguration.js'
import { authenticateCaller, MODELS_PATH, readRoutedRequest, type RoutedRequest } from './_lib/readRoutedRequest.js'
import type { DispatchDependencies, DispatchLimits, RequestContext } from './_lib/requestContext.js'
import { runRequest } from './_lib/runRequest.js'

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
  comeBackAfterMs: 1_000
}

const isModelList = (request: CallerRequest): boolean =>
  request.method === 'GET' && request.path.split('?')[0] === MODELS_PATH

/**
 * Creates the dispatch service.
 *
 * A request that is accepted ends in exactly one of: a complete answer, a
 * refusal that says it did not run, or one that says that its outcome is
 * unknown. The ledger counts them; a sum that does not hold is a lost request.
 *
 * @param dependencies - The services and the backend client that it uses.
 * @param options - Limits; times in milliseconds, sizes in bytes.
 * @returns The service.
 *
 * @example
 * const dispatch = createDispatch(dependencies, { fleetKey, retryShare: 0.1, maximumAttempts: 3 })
 * const answer = await dispatch.handle(request, signal)
 */
export const createDispatch = (dependencies: DispatchDependencies, options: DispatchOptions): Dispatch => {
  const { fleetKey, retryShare, ...given } = options
  const limits: DispatchLimits = { ...DEFAULT_LIMITS, ...given }
  const hintAuthenticator = createHintAuthenticator(fleetKey)
  const retryAllowance = createRetryAllowance(retryShare)
  const ledger = createLedger()

  const run = async (routed: RoutedRequest, callerSignal: AbortSignal, reply: Reply): Promise<RequestFate> => {
    const scope = createRequestScope(dependencies.clock, routed.deadlineMs, callerSignal)
    const context: RequestContext = { dependencies, limits, hintAuthenticator, retryAllowance, routed, scope, reply }
    try {
      return await runRequest(context)
    } catch (error) {
      // A broken invariant of one request: the caller is told, the others go on.
      dependencies.logger.error('a request failed inside the router', { requestId: routed.request.requestId, error: String(error) })
      reply.refuse(describeRefusal('unknown', 'backendFailed', 'the router failed'))
      return 'unknown'
    } finally {
      scope.close()
    }
  }

  const answerIndexed = (index: ConfigurationIndex, request: CallerRequest, callerSignal: AbortSignal, settle: (fate: RequestFate) => void): CallerAnswer | Promise<CallerAnswer> => {
    if (isModelList(request) && authenticateCaller(index, request) !== undefined) {
      settle('complete')
      return describeModels(index)
    }
    const routed = readRoutedRequest(index, request)
    if (!routed.ok) {
      settle('refused')
      return { kind: 'refused', refusal: routed.error }
    }
    const reply = createReply()
    run(routed.value, callerSignal, reply).then(settle)
    return reply.answer
  }

  return {
    handle: async (request, signal) => {
      const settle = ledger.open()
      const configuration = dependencies.configuration.current()
      if (configuration !== undefined) return await answerIndexed(indexConfiguration(configuration), request, signal, settle)
      settle('refused')
      return { kind: 'refused', refusal: describeRefusal('not-run', 'noConfiguration', 'no configuration is in force here yet', limits.comeBackAfterMs) }
    },
    ledger: ledger.read,
    whenIdle: ledger.whenIdle
  }
}
