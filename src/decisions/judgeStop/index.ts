/**
 * Whether a node that stops takes a request. The load it answers: a fleet that
 * is stopped node by node, where a refused caller may meet another stopping node
 * and a stream that outlasts its node is cut in the middle.
 */

export type StopQuestion = {
  /** Milliseconds until the node ends. */
  readonly leftMs: number
  /** Longest time in milliseconds that the request may still take: then its deadline ends it. */
  readonly limitMs: number
  /** Milliseconds between the begin of the stop and the request's arrival. */
  readonly arrivedAfterMs: number
  /** Share of the route's latest streams that took longer than `leftMs`; `undefined` while too few are known. */
  readonly lateShare: number | undefined
  /** Milliseconds that it takes at most by its tokens and the pace of the slowest stream seen, used while no share is known. */
  readonly estimatedMs: number
}

/**
 * A balancer that asks once a second and turns a node away after two misses has done so by then. Before,
 * callers can't avoid the node; afterwards they come by old connections, or where most nodes of the zone stop.
 */
const TURNING_AWAY_MS = 2_500
/** A refusal costs a caller a second connection, a cut stream all of its answer. */
const MOST_LATE_SHARE = 0.05

/**
 * Judges one request.
 *
 * While callers are still being turned away, what very likely ends in time is taken; later only what
 * its own deadline ends in time, since no margin covers a stream longer than any seen.
 *
 * @param question - The time left, and what is known of the request's duration.
 * @returns Whether the node takes it.
 *
 * @example
 * judgeStop({ leftMs: 4_000, limitMs: 3_000, arrivedAfterMs: 3_500, lateShare: undefined, estimatedMs: 9_000 }) // => true
 */
export const judgeStop = ({ leftMs, limitMs, arrivedAfterMs, lateShare, estimatedMs }: StopQuestion): boolean => {
  if (limitMs <= leftMs) return true
  if (arrivedAfterMs > TURNING_AWAY_MS) return false
  return lateShare === undefined ? estimatedMs <= leftMs : lateShare <= MOST_LATE_SHARE
}
