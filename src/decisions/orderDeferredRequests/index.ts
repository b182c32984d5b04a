/**
 * Orders requests that were deferred because the node lacked the state to send them.
 * Load pattern: after an outage all nodes recover at once and release their deferred
 * requests in one turn of the event loop on a slow processor, so that the last one
 * waits for all before it.
 */

export type DeferredRequest = {
  /** Milliseconds left to meet the request's latency target; negative when it is already missed. */
  readonly timeToTargetMs: number
  /** Milliseconds until the caller's deadline. */
  readonly timeToDeadlineMs: number
  /** 0 is the most urgent. */
  readonly priority: number
}

/** Time for the backend server's work and the network round trip. With less left, the target is missed in any order. */
const MINIMUM_RESPONSE_TIME_MS = 30

const canMeetTarget = ({ timeToTargetMs }: DeferredRequest): boolean => timeToTargetMs > MINIMUM_RESPONSE_TIME_MS

const compare = (left: DeferredRequest, right: DeferredRequest): number => {
  if (canMeetTarget(left) !== canMeetTarget(right)) return canMeetTarget(left) ? -1 : 1
  if (canMeetTarget(left)) return left.timeToTargetMs - right.timeToTargetMs || left.priority - right.priority
  return left.priority - right.priority || left.timeToDeadlineMs - right.timeToDeadlineMs
}

/**
 * Orders deferred requests: first those that can still meet their latency target,
 * the one with the least time left first; then those that can't, the most urgent first.
 *
 * @param requests - The requests.
 * @returns The same requests in the order in which to send them.
 *
 * @example
 * orderDeferredRequests([{ timeToTargetMs: 500, timeToDeadlineMs: 900, priority: 0 }, { timeToTargetMs: 90, timeToDeadlineMs: 900, priority: 2 }])[0]?.timeToTargetMs // => 90
 */
export const orderDeferredRequests = <Request extends DeferredRequest>(requests: readonly Request[]): readonly Request[] => [...requests].sort(compare)
