/**
 * Orders requests that were deferred because the node lacked the state to send them.
 * Load pattern: after an outage all nodes recover at once and release their deferred
 * requests in one turn of the event loop on a slow processor, so that the last one
 * waits for all before it.
 */

export type HeldRequest = {
  /** Milliseconds left to meet the request's latency target; negative when it is already missed. */
  readonly goalLeftMs: number
  /** Milliseconds until the caller's deadline. */
  readonly deadlineLeftMs: number
  /** 0 is the most urgent. */
  readonly priority: number
}

/** Time for the backend server's work and the network round trip. With less left, the target is missed in any order. */
const LEAST_WORK_MS = 30

const isInTime = ({ goalLeftMs }: HeldRequest): boolean => goalLeftMs > LEAST_WORK_MS

const compare = (left: HeldRequest, right: HeldRequest): number => {
  if (isInTime(left) !== isInTime(right)) return isInTime(left) ? -1 : 1
  if (isInTime(left)) return left.goalLeftMs - right.goalLeftMs || left.priority - right.priority
  return left.priority - right.priority || left.deadlineLeftMs - right.deadlineLeftMs
}

/**
 * Orders deferred requests: first those that can still meet their latency target,
 * the one with the least time left first; then those that can't, the most urgent first.
 *
 * @param held - The requests.
 * @returns The same requests in the order in which to send them.
 *
 * @example
 * orderHeld([{ goalLeftMs: 500, deadlineLeftMs: 900, priority: 0 }, { goalLeftMs: 90, deadlineLeftMs: 900, priority: 2 }])[0]?.goalLeftMs // => 90
 */
export const orderHeld = <Held extends HeldRequest>(held: readonly Held[]): readonly Held[] => [...held].sort(compare)
