/** Builds refusals with the status that belongs to their reason. */
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
  deadline: 504,
  platformUnavailable: 503,
  backendFailed: 502,
  answerIncomplete: 502,
  claimedElsewhere: 409,
  cancelled: 499
}

/**
 * Describes why a request has no complete answer.
 *
 * @param outcome - `not-run` only when every attempt surely did not run.
 * @param reason - What kept the request from its answer.
 * @param message - A sentence for the person behind the caller.
 * @param retryAfterMs - When to come back, in milliseconds; left out when coming back does not help.
 * @returns The refusal, with its HTTP status.
 *
 * @example
 * describeRefusal('not-run', 'overShare', 'over the account\'s share', 2_000).status // => 429
 */
export const describeRefusal = (outcome: RefusalOutcome, reason: RefusalReason, message: string, retryAfterMs?: number): Refusal => ({
  outcome,
  reason,
  message,
  status: statuses[reason],
  ...(retryAfterMs === undefined ? {} : { retryAfterMs })
})
