/** Creates refusals with the HTTP status of their reason, or with 502 where that would promise what is not known. */
import { selectFinalStatus } from '../selectFinalStatus/index.js'
import type { Refusal, RefusalOutcome, RefusalReason } from '../../types/index.js'

const statuses: { readonly [Reason in RefusalReason]: number } = {
  badRequest: 400,
  unauthorized: 401,
  unknownModel: 404,
  unknownRoute: 404,
  bodyTooLarge: 413,
  idempotencyKeyMissing: 400,
  idempotencyKeyReused: 422,
  noConfiguration: 503,
  noBackendServer: 503,
  overShare: 429,
  queueFull: 503,
  repeatedEarly: 503,
  lessUrgent: 503,
  deadline: 504,
  platformUnavailable: 503,
  backendFailed: 502,
  answerIncomplete: 502,
  claimedElsewhere: 409,
  cancelled: 499
}

/**
 * Creates the refusal of a request that gets no complete answer.
 *
 * @param outcome - `not-run` only when it is certain that no attempt ran.
 * @param reason - Why the request has no complete answer.
 * @param message - A human-readable description for the caller.
 * @param retryAfterMs - Delay before a retry in milliseconds; omitted when a retry does not help.
 * @returns The refusal, with its HTTP status.
 *
 * @example
 * createRefusal('not-run', 'overShare', 'over the account\'s share', 2_000).status // => 429
 */
export const createRefusal = (outcome: RefusalOutcome, reason: RefusalReason, message: string, retryAfterMs?: number): Refusal => ({
  outcome,
  reason,
  message,
  status: selectFinalStatus(statuses[reason], outcome === 'unknown'),
  ...(retryAfterMs === undefined ? {} : { retryAfterMs })
})
