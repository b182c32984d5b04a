/**
 * Runs one attempt at one backend server: sends the request, checks that the
 * answer belongs to it and forwards the answer. Load and health are recorded
 * once for each attempt.
 */
import type { AttemptOutcome, BackendAnswer, BackendError, BackendServer } from '../../../types/index.js'
import { createFailedAttempt, type AttemptEnd } from './attemptEnd.js'
import type { RetryPlanner } from './createRetryPlanner.js'
import { describeBackendRequest, describeCancel } from './describeExchange.js'
import { relayBody } from './relayBody.js'
import { relayEvents } from './relayEvents.js'
import { isIdempotent, type RequestContext } from './requestContext.js'
import { watchReachability, type ReachabilityWatch } from './watchReachability.js'

const REFUSED_STATUS = 503
const FIRST_FAILURE_STATUS = 300
const LEAVING_REASON = 'leaving'
/** Statuses of a server or proxy that is unavailable; another backend server may still answer. */
const UNAVAILABLE_STATUSES: ReadonlySet<number> = new Set([502, 503, 504])
const CANCEL_TIMEOUT_MS = 2_000

const sendFailures: { readonly [Kind in BackendError['kind']]: (error: Extract<BackendError, { kind: Kind }>) => AttemptEnd } = {
  notSent: ({ message }) => ({ kind: 'failed', attempt: createFailedAttempt('notSent'), message, outcome: 'notSent' }),
  noAnswer: ({ message }) => ({ kind: 'failed', attempt: createFailedAttempt('written', 'cut'), message, outcome: 'failed' }),
  cancelled: () => ({ kind: 'failed', attempt: createFailedAttempt('written', 'cancelled'), message: 'cancelled' })
}

const describeSendFailure = (error: BackendError, watch: ReachabilityWatch): AttemptEnd => {
  if (error.kind === 'cancelled' && watch.isUnreachable()) return { kind: 'failed', attempt: createFailedAttempt('written', 'cut'), message: 'the backend server became unreachable', outcome: 'failed' }
  const describe = sendFailures[error.kind] as (error: BackendError) => AttemptEnd
  return describe(error)
}

/**
 * Guards against crossed answers: a server that mixes up its connections sends
 * one caller's answer to another. Such an answer has a foreign or missing
 * request id. It is discarded, and its connection is closed, since the next
 * answer on it would be crossed too.
 */
const isCrossedAnswer = (context: RequestContext, answer: BackendAnswer): boolean =>
  answer.headers['x-request-id'] !== context.routed.request.requestId

const handleBackendRefusal = (context: RequestContext, backendServer: BackendServer, reason: string): AttemptEnd => {
  if (reason === LEAVING_REASON) context.dependencies.backendHealth.markLeaving(backendServer.name)
  return { kind: 'failed', attempt: createFailedAttempt('written', 'refusedByBackend'), message: `${backendServer.name} refused: ${reason}`, outcome: 'refused' }
}

/** A failure in the form of a stream has no events to resume. */
const isModelStream = (context: RequestContext, answer: BackendAnswer): boolean =>
  context.routed.serviceKind === 'model' && answer.status < FIRST_FAILURE_STATUS && (answer.headers['content-type'] ?? '').startsWith('text/event-stream')

const exchange = async (context: RequestContext, planner: RetryPlanner, backendServer: BackendServer, watch: ReachabilityWatch): Promise<AttemptEnd> => {
  const sent = await context.dependencies.backendClient.send(describeBackendRequest(context, backendServer), watch.signal)
  if (!sent.ok) return describeSendFailure(sent.error, watch)
  const answer = sent.value
  if (isCrossedAnswer(context, answer)) {
    answer.abort()
    return { kind: 'failed', attempt: createFailedAttempt('written', 'crossedAnswer'), message: 'the answer belongs to another request', outcome: 'failed' }
  }
  const notRun = answer.headers['x-not-run']
  if (answer.status === REFUSED_STATUS && notRun !== undefined) {
    answer.abort()
    return handleBackendRefusal(context, backendServer, notRun)
  }
  if (UNAVAILABLE_STATUSES.has(answer.status) && isIdempotent(context)) {
    answer.abort()
    return { kind: 'failed', attempt: createFailedAttempt('written', 'cut'), message: `${backendServer.name} answered ${answer.status}`, outcome: 'failed' }
  }
  return isModelStream(context, answer)
    ? await relayEvents(context, planner, backendServer, answer)
    : await relayBody(context, backendServer, answer)
}

/** Frees the slot of the model engine at once; otherwise the engine would keep generating for its grace period. */
const cancelOnEngine = (context: RequestContext, backendServer: BackendServer): void => {
  const { backendClient, clock } = context.dependencies
  const controller = new AbortController()
  const timer = clock.setTimer(CANCEL_TIMEOUT_MS, () => controller.abort())
  backendClient.send(describeCancel(context, backendServer, CANCEL_TIMEOUT_MS), controller.signal)
    .then(async (sent) => {
      if (!sent.ok) return
      for await (const part of sent.value.body) if (part.kind !== 'data') break
    })
    .finally(() => timer.cancel())
}

const canStillRun = (end: AttemptEnd): boolean =>
  end.kind !== 'delivered' && end.attempt.execution === 'mayHaveRun'

const readOutcome = (context: RequestContext, end: AttemptEnd): AttemptOutcome | undefined => {
  if (end.kind === 'callerLeft' || (end.kind === 'failed' && context.scope.signal.aborted)) return undefined
  return end.outcome
}

export const runAttempt = async (context: RequestContext, planner: RetryPlanner, backendServer: BackendServer): Promise<AttemptEnd> => {
  const { loadView, backendHealth, metrics, placement, clock } = context.dependencies
  const startedAt = clock.now()
  planner.startAttempt()
  loadView.recordStart(backendServer.name)
  const watch = watchReachability(context, planner, backendServer)
  try {
    const end = await exchange(context, planner, backendServer, watch)
    const outcome = readOutcome(context, end)
    metrics.count('attempts', { backend_server: backendServer.name, outcome: outcome ?? 'cancelled' })
    if (outcome !== undefined) backendHealth.recordAttempt(backendServer.name, outcome)
    if (context.routed.serviceKind === 'model' && canStillRun(end)) cancelOnEngine(context, backendServer)
    return end
  } finally {
    watch.stop()
    loadView.recordEnd(backendServer.name)
    placement.recordHoldTime(backendServer.service, clock.now() - startedAt)
  }
}
