/**
 * Requests that may run at most once. Nothing is sent before the claim on the
 * idempotency key is granted, and only a request that was surely not sent
 * gives its claim back.
 */
import { describeRefusal } from '../../../decisions/describeRefusal/index.js'
import type { ClaimKey, ClaimOutcome } from '../../../types/index.js'
import { hashHex } from './createAuthenticator.js'
import type { RequestContext } from './requestContext.js'
import { runAttempts, type RequestResult } from './runAttempts.js'

type Handlers = {
  readonly [Kind in ClaimOutcome['kind']]: (context: RequestContext, key: ClaimKey, outcome: Extract<ClaimOutcome, { kind: Kind }>) => Promise<RequestResult>
}

/**
 * A repeat joins an open request of its key until just before its own
 * deadline. At the deadline itself it would be refused as not run, though the
 * request that it joined may be running.
 */
const JOIN_MARGIN_MS = 50

/** A refusal waits so long for its claim to be given back, so that an early repeat finds the key free. */
const RELEASE_WAIT_MS = 250

const refuseUnsent = (context: RequestContext, reason: 'platformUnavailable' | 'deadline' | 'cancelled', message: string): RequestResult =>
  ({ kind: 'refused', refusal: describeRefusal('not-run', reason, message, context.limits.comeBackAfterMs) })

const release = ({ dependencies }: RequestContext, key: ClaimKey, claimId: string): Promise<void> =>
  dependencies.claims.release(key, claimId).catch((error: unknown) => {
    dependencies.logger.warn('a claim could not be given back', { error: String(error) })
  })

const recordAnswer = ({ dependencies }: RequestContext, key: ClaimKey, claimId: string, result: RequestResult): void => {
  if (result.kind !== 'complete' || result.stored === undefined) return
  dependencies.claims.complete(key, claimId, result.stored).catch((error: unknown) => {
    dependencies.logger.warn('the answer of a claim could not be recorded', { error: String(error) })
  })
}

/** Resolves after `promise`, or after a delay that not even the deadline cuts short. */
const waitAtMost = ({ dependencies }: RequestContext, promise: Promise<void>, delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    const timer = dependencies.clock.setTimer(delayMs, resolve)
    promise.finally(() => {
      timer.cancel()
      resolve()
    })
  })

const runGranted = async (context: RequestContext, key: ClaimKey, claimId: string): Promise<RequestResult> => {
  // The caller may ask again for the answer under the same key, so it is fetched even when the caller has gone.
  context.scope.outliveCaller()
  const result = await runAttempts(context)
  recordAnswer(context, key, claimId, result)
  const isUnsent = result.kind === 'refused' && result.refusal.outcome === 'not-run'
  const isUnknown = result.kind === 'refused' && !isUnsent
  // Repeats that wait here for this answer would otherwise wait until their deadlines.
  if (isUnknown) context.dependencies.claims.recordUnknown?.(key, claimId)
  if (isUnsent) await waitAtMost(context, release(context, key, claimId), RELEASE_WAIT_MS)
  return result
}

const handlers: Handlers = {
  granted: (context, key, { claimId }) => runGranted(context, key, claimId),
  answered: async (context, _key, { answer }) => {
    context.reply.sendWhole(answer.status, { ...answer.headers, 'x-idempotent-replay': 'true' }, answer.body)
    return { kind: 'complete' }
  },
  claimedElsewhere: async ({ limits }) => ({
    kind: 'refused',
    refusal: describeRefusal('unknown', 'claimedElsewhere', 'a request under this key was sent before; its outcome is not known here', limits.comeBackAfterMs)
  }),
  keyReused: async () => ({
    kind: 'refused',
    refusal: describeRefusal('not-run', 'idempotencyKeyReused', 'this Idempotency-Key was used with another request')
  }),
  // Only this request is known not to have run: an earlier one under the key may
  // have, which cannot be read now. A repeat under a new key could double it.
  unavailable: async (context, _key, { message }) => {
    context.dependencies.logger.warn('a key could not be claimed', { requestId: context.routed.request.requestId, message })
    return refuseUnsent(context, 'platformUnavailable', 'the platform cannot be reached; this request was not sent; repeat it under the same Idempotency-Key')
  }
}

export const runClaimed = async (context: RequestContext, idempotencyKey: string): Promise<RequestResult> => {
  const { dependencies, routed, scope } = context
  const key: ClaimKey = { clientAccount: routed.clientAccount.name, idempotencyKey }
  const { method, body } = routed.request
  const bodyHash = hashHex(JSON.stringify([method, routed.path]), '\n', body)
  const claiming = dependencies.claims.claim(key, bodyHash, scope.deadlineAt - JOIN_MARGIN_MS)
  const outcome = await scope.race(claiming)
  if (outcome === undefined) {
    // A claim that is granted too late has nothing behind it.
    claiming.then((late) => late.kind === 'granted' ? release(context, key, late.claimId) : undefined, () => undefined)
    const reason = scope.ended() === 'hungUp' ? 'cancelled' : 'deadline'
    return refuseUnsent(context, reason, 'ended before the request was claimed')
  }
  const handle = handlers[outcome.kind] as (context: RequestContext, key: ClaimKey, outcome: ClaimOutcome) => Promise<RequestResult>
  return await handle(context, key, outcome)
}
