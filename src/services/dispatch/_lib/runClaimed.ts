/**
 * Runs requests that may run at most once. Nothing is sent before the claim on
 * the idempotency key is granted, and the claim is released only when the
 * request was certainly not sent.
 */
import { createRefusal } from '../../../decisions/createRefusal/index.js'
import type { ClaimKey, ClaimOutcome } from '../../../types/index.js'
import { hashHex } from './createHintAuthenticator.js'
import { describeUnknownOutcome, selectAnswerStatus } from './describeExchange.js'
import type { RequestContext } from './requestContext.js'
import { runAttempts, type RequestResult } from './runAttempts.js'

type Handlers = {
  readonly [Kind in ClaimOutcome['kind']]: (context: RequestContext, key: ClaimKey, outcome: Extract<ClaimOutcome, { kind: Kind }>) => Promise<RequestResult>
}

/**
 * A duplicate request waits for the open request of its key until just before
 * its own deadline. At the deadline itself it would be refused as "not-run",
 * although the request that it waits for may be running.
 */
const DUPLICATE_WAIT_MARGIN_MS = 50

/** A refusal waits at most this long for the release of its claim, so that an immediate retry finds the key free. */
const MAXIMUM_RELEASE_WAIT_MS = 250

const refuseUnsent = (context: RequestContext, reason: 'platformUnavailable' | 'deadline' | 'cancelled', message: string): RequestResult =>
  ({ kind: 'refused', refusal: createRefusal('not-run', reason, message, context.limits.defaultRetryAfterMs) })

const release = ({ dependencies }: RequestContext, key: ClaimKey, claimId: string): Promise<void> =>
  dependencies.claims.release(key, claimId).catch((error: unknown) => {
    dependencies.logger.warn('the claim of a refused request could not be released', { error: String(error) })
  })

const recordAnswer = ({ dependencies }: RequestContext, key: ClaimKey, claimId: string, result: RequestResult): void => {
  if (result.kind !== 'complete' || result.stored === undefined) return
  dependencies.claims.complete(key, claimId, result.stored).catch((error: unknown) => {
    dependencies.logger.warn('the answer of a claimed request could not be stored', { error: String(error) })
  })
}

/** Resolves after `promise` settles or after the delay. The wait is independent of the request deadline. */
const waitWithLimit = ({ dependencies }: RequestContext, promise: Promise<void>, delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    const timer = dependencies.clock.setTimer(delayMs, resolve)
    promise.finally(() => {
      timer.cancel()
      resolve()
    })
  })

const runGranted = async (context: RequestContext, key: ClaimKey, claimId: string): Promise<RequestResult> => {
  // The caller may request the answer again under the same key, so it is fetched even after a disconnect.
  context.scope.detachFromCaller()
  const result = await runAttempts(context)
  recordAnswer(context, key, claimId, result)
  const isUnsent = result.kind === 'refused' && result.refusal.outcome === 'not-run'
  const isUnknown = result.kind === 'refused' && !isUnsent
  // Duplicate requests that wait on this node for the answer would otherwise wait until their deadlines.
  if (isUnknown) context.dependencies.claims.recordUnknown?.(key, claimId)
  if (isUnsent) await waitWithLimit(context, release(context, key, claimId), MAXIMUM_RELEASE_WAIT_MS)
  return result
}

const handlers: Handlers = {
  granted: (context, key, { claimId }) => runGranted(context, key, claimId),
  answered: async (context, _key, { answer }) => {
    const status = selectAnswerStatus(context, answer)
    context.reply.sendComplete(status, { ...answer.headers, ...describeUnknownOutcome(context, status), 'x-idempotent-replay': 'true' }, answer.body)
    return { kind: 'complete' }
  },
  claimedElsewhere: async ({ limits }) => ({
    kind: 'refused',
    refusal: createRefusal('unknown', 'claimedElsewhere', 'a request under this key was sent before; its outcome is not known here', limits.defaultRetryAfterMs)
  }),
  keyReused: async () => ({
    kind: 'refused',
    refusal: createRefusal('not-run', 'idempotencyKeyReused', 'this Idempotency-Key was used with another request')
  }),
  // Only this request is known not to have run. An earlier one with the same key may have run, which
  // can't be read now, so a retry under a new key could execute it twice.
  unavailable: async (context, _key, { message }) => {
    context.dependencies.logger.warn('an idempotency key could not be claimed', { requestId: context.routed.request.requestId, message })
    return refuseUnsent(context, 'platformUnavailable', 'the platform cannot be reached; this request was not sent; repeat it under the same Idempotency-Key')
  }
}

export const runClaimed = async (context: RequestContext, idempotencyKey: string): Promise<RequestResult> => {
  const { dependencies, routed, scope } = context
  const key: ClaimKey = { clientAccount: routed.clientAccount.name, idempotencyKey }
  const { method, body } = routed.request
  const bodyHash = hashHex(JSON.stringify([method, routed.path]), '\n', body)
  const claiming = dependencies.claims.claim(key, bodyHash, scope.deadlineAt - DUPLICATE_WAIT_MARGIN_MS)
  const outcome = await scope.race(claiming)
  if (outcome === undefined) {
    // A claim that is granted after the request ended is released: nothing was sent under it.
    claiming.then((late) => late.kind === 'granted' ? release(context, key, late.claimId) : undefined, () => undefined)
    const reason = scope.endCause() === 'hungUp' ? 'cancelled' : 'deadline'
    return refuseUnsent(context, reason, 'ended before the request was claimed')
  }
  const handle = handlers[outcome.kind] as (context: RequestContext, key: ClaimKey, outcome: ClaimOutcome) => Promise<RequestResult>
  return await handle(context, key, outcome)
}
