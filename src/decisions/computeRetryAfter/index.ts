/**
 * Computes the Retry-After of requests that are rejected because every backend
 * server is full, refuses requests or is gone. Hundreds of callers are rejected
 * at once when a service fails. The delay has jitter, because callers that all
 * retry at the same moment would fail together again (thundering herd).
 */
import type { FinalReason } from '../../types/index.js'

/** A suspended server is tried again after 400 ms, so some servers are available by the time of the retry. */
const MINIMUM_DELAY_MS = 250
/** Twice the minimum delay, which spreads a burst of callers widely enough within two or three retries. */
const MAXIMUM_JITTER_MS = 500

/** Only an operator ends a drain or adds servers to a region, so an immediate retry would be rejected again. */
const MINIMUM_LASTING_DELAY_MS = 1_500

/** Refusal reasons that last longer than the suspension of a server. */
const LASTING_REASONS: ReadonlySet<FinalReason> = new Set(['zoneDrained', 'regionNotAllowed'])

/**
 * Computes the delay after which a rejected caller should retry.
 *
 * @param randomShare - A number in [0, 1).
 * @param reason - Why the request was rejected; a reason that passes within a second by default.
 * @returns The delay in milliseconds.
 *
 * @example
 * computeRetryAfter(0) // => 250
 */
export const computeRetryAfter = (randomShare: number, reason: FinalReason = 'noInstance'): number =>
  (LASTING_REASONS.has(reason) ? MINIMUM_LASTING_DELAY_MS : MINIMUM_DELAY_MS) + MAXIMUM_JITTER_MS * randomShare
