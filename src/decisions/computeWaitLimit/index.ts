/**
 * Computes until when a request may wait for a backend server. Load pattern: a service
 * that stays full for longer than its callers wait, so that a late start serves nobody.
 */
import type { GatewayRoute } from '../../types/index.js'

export type WaitLimitInput = Pick<GatewayRoute, 'retryPolicy' | 'latencyTargetMs'> & {
  /** Monotonic milliseconds of the request's first byte and of its deadline. */
  readonly receivedAt: number
  readonly deadlineAt: number
  /** Expected time from the send to the end of the answer, in milliseconds. */
  readonly workMs: number
  /** Whether its caller came back before its Retry-After. */
  readonly isRepeat?: boolean
}

/**
 * Share of the time between latency target and deadline that a request may wait: a caller
 * that is refused by then has as much time again to return elsewhere.
 */
const MAXIMUM_LATE_SHARE = 0.5

/** Multiples of the expected work that must fit between the send and the deadline. */
const WORK_MULTIPLES: Readonly<Record<GatewayRoute['retryPolicy'], number>> = {
  safe: 1,
  stream: 1,
  // Cut off at its deadline, it may have run and cannot be refused as not run: a send that is slow must still end in time.
  unsafe: 3
}

/**
 * Computes the last time at which sending a request still serves its caller.
 *
 * @param input - Times of the request, its route and its expected work.
 * @returns Monotonic milliseconds; it may lie in the past, when the request must not wait at all.
 *
 * @example
 * computeWaitLimit({ retryPolicy: 'safe', latencyTargetMs: 200, receivedAt: 0, deadlineAt: 1_000, workMs: 100 }) // => 600
 */
export const computeWaitLimit = ({ retryPolicy, latencyTargetMs, receivedAt, deadlineAt, workMs, isRepeat = false }: WaitLimitInput): number => {
  const targetAt = receivedAt + latencyTargetMs
  // In a queue that makes its requests late, the places go to callers that do as they were told.
  if (isRepeat) return Math.min(targetAt, deadlineAt - WORK_MULTIPLES[retryPolicy] * workMs)
  const lateLimit = targetAt + MAXIMUM_LATE_SHARE * Math.max(0, deadlineAt - targetAt)
  return Math.min(lateLimit, deadlineAt - WORK_MULTIPLES[retryPolicy] * workMs)
}
