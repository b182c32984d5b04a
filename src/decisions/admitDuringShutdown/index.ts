/**
 * Decides whether a gateway that is shutting down accepts a request. Load pattern:
 * a rolling restart, where a rejected caller may reach another gateway that is
 * shutting down, and a stream that outlasts its gateway is cut.
 */

export type ShutdownAdmissionInput = {
  /** Milliseconds until the node exits. */
  readonly untilExitMs: number
  /** Milliseconds until the deadline of the request, the longest that it can take. */
  readonly untilDeadlineMs: number
  /** Milliseconds from the start of the shutdown to the arrival of the request. */
  readonly arrivedAfterMs: number
  /** Share of the route's recent streams that took longer than `untilExitMs`; `undefined` while too few are known. */
  readonly lateShare: number | undefined
  /** Estimated maximum duration in milliseconds, from its tokens and the speed of the slowest observed stream. Used while no share is known. */
  readonly estimatedDurationMs: number
}

/**
 * By this time a load balancer with one health check per second has removed the node after two failed checks.
 * Earlier, callers cannot avoid the node. Later requests arrive on old connections, or because most nodes of
 * the zone are shutting down.
 */
const LOAD_BALANCER_REMOVAL_MS = 2_500
/** A low share, since a rejection costs a caller only a second connection, and a cut stream its complete answer. */
const MAXIMUM_LATE_SHARE = 0.05

/**
 * Decides on one request.
 *
 * Until load balancers have removed the node, it accepts a request that will very likely end in time. Later it
 * accepts only a request whose deadline is early enough, since a stream may be longer than any observed before.
 *
 * @param input - The time left, and the deadline and estimated duration of the request.
 * @returns Whether the node accepts the request.
 *
 * @example
 * admitDuringShutdown({ untilExitMs: 4_000, untilDeadlineMs: 3_000, arrivedAfterMs: 3_500, lateShare: undefined, estimatedDurationMs: 9_000 }) // => true
 */
export const admitDuringShutdown = ({ untilExitMs, untilDeadlineMs, arrivedAfterMs, lateShare, estimatedDurationMs }: ShutdownAdmissionInput): boolean => {
  if (untilDeadlineMs <= untilExitMs) return true
  if (arrivedAfterMs > LOAD_BALANCER_REMOVAL_MS) return false
  return lateShare === undefined ? estimatedDurationMs <= untilExitMs : lateShare <= MAXIMUM_LATE_SHARE
}
