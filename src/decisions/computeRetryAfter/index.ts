/**
 * Computes the Retry-After of requests that are rejected because every backend
 * server is full, refuses requests, asked for a backoff or is gone. Hundreds of
 * callers are rejected at once when a service fails. The delay has jitter, because
 * callers that all retry at the same moment would fail together again (thundering herd).
 */
import type { FinalReason } from '../../types/index.js'

export type RetryAfterOptions = {
  /** Why the request was rejected; a reason that passes within a second by default. */
  readonly reason?: FinalReason
  /** Milliseconds until a backend server accepts requests of this node again; 0, the default, when one may accept them now. */
  readonly availableInMs?: number
  /** Milliseconds until the caller's deadline; unlimited by default. */
  readonly remainingMs?: number
}

/** A suspended server is tried again after 400 ms, so some servers are available by the time of the retry. */
const MINIMUM_DELAY_MS = 250
/** Twice the minimum delay, which spreads a burst of callers widely enough within two or three retries. */
const MAXIMUM_JITTER_MS = 500

/** Only an operator ends a drain or adds servers to a region, so an immediate retry would be rejected again. */
const MINIMUM_LASTING_DELAY_MS = 1_500

/** Refusal reasons that last longer than the suspension of a server. */
const LASTING_REASONS: ReadonlySet<FinalReason> = new Set(['zoneDrained', 'regionNotAllowed', 'versionGone', 'promptQuarantined'])

/** Refusal reasons that end when a backend server accepts requests again. */
const AVAILABILITY_REASONS: ReadonlySet<FinalReason> = new Set(['noInstance', 'instancesRefused', 'backingOff'])

/** Refusal reasons of a full service: the delay is the expected wait there. */
const WAIT_REASONS: ReadonlySet<FinalReason> = new Set(['waitTooLong', 'overShare', 'queueFull', 'repeatedEarly', 'lessUrgent'])

/** Jitter of these delays as a share of the wait, so that a long queue's callers return spread over half as long again. */
const WAIT_JITTER_SHARE = 0.5
/** Largest share of the time that a caller has left: one that is asked to wait longer would not return. */
const MAXIMUM_WAIT_SHARE = 1 / 3

const computeQueueDelay = (randomShare: number, availableInMs: number, remainingMs: number): number => {
  const waitMs = Math.max(MINIMUM_DELAY_MS, availableInMs)
  const delayMs = waitMs + randomShare * Math.max(MAXIMUM_JITTER_MS, WAIT_JITTER_SHARE * waitMs)
  const limitMs = MAXIMUM_WAIT_SHARE * Math.max(0, remainingMs)
  // Callers at the limit are still spread, over its second half.
  return delayMs <= limitMs ? delayMs : limitMs * (1 + randomShare) / 2
}

/**
 * Computes the delay after which a rejected caller should retry.
 *
 * A caller whose deadline is before the end of every backoff gets the usual delay: this
 * node can't serve it any more, but another one may reach a server that did not ask it to wait.
 *
 * @param randomShare - A number in [0, 1).
 * @param options - Reason of the rejection, and times in milliseconds.
 * @returns The delay in milliseconds.
 *
 * @example
 * computeRetryAfter(0) // => 250
 */
export const computeRetryAfter = (randomShare: number, { reason = 'noInstance', availableInMs = 0, remainingMs = Infinity }: RetryAfterOptions = {}): number => {
  if (WAIT_REASONS.has(reason)) return computeQueueDelay(randomShare, availableInMs, remainingMs)
  const jitterMs = MAXIMUM_JITTER_MS * randomShare
  const usualMs = (LASTING_REASONS.has(reason) ? MINIMUM_LASTING_DELAY_MS : MINIMUM_DELAY_MS) + jitterMs
  const availableMs = availableInMs + jitterMs
  if (!AVAILABILITY_REASONS.has(reason) || availableMs >= remainingMs) return usualMs
  return Math.max(usualMs, availableMs)
}
