/**
 * Passive health tracking of a backend server from its answers to real
 * requests: whether it is unreachable, its error rate, and how much slower than
 * usual it is. An unreachable server sends nothing; a degraded one (gray
 * failure) returns errors or is slow while its health checks still pass.
 */

export type InstanceCondition = {
  /** Times in a row that it was unreachable, did not respond or broke off, since its last answer. */
  readonly failuresInRow: number
  /** Monotonic milliseconds until which it is suspended: it gets no requests while other servers can take them. */
  readonly heldUntil: number
  /** Whether it stays suspended after that until a connection to it succeeds. */
  readonly needsProof: boolean
  /** Moving average of the share of its answers that were failures, in [0, 1]. */
  readonly errorShare: number
  /** Moving average of its time to first byte, as a multiple of the usual time of such requests. */
  readonly slowness: number
}

export type ConditionEvent =
  /** No connection, or no byte within the time that other servers need. */
  | { readonly kind: 'unreachable' }
  /** The connection ended early, or its bytes were not a valid answer. */
  | { readonly kind: 'broken' }
  /** A connection that was opened only to probe the server succeeded. */
  | { readonly kind: 'reached' }
  /** The server reports that it failed while it ran the request. */
  | { readonly kind: 'errored' }
  | { readonly kind: 'answered', readonly slowness: number }

export const initialCondition: InstanceCondition = { failuresInRow: 0, heldUntil: -Infinity, needsProof: false, errorShare: 0, slowness: 1 }

/** Suspension after the first failure: a few round trips to another zone. Doubles with each further failure. */
const FIRST_HOLD_MS = 400
/** Bounds the suspension, so that a recovered server serves again within that time. */
const LONGEST_HOLD_MS = 2_000
/** Broken answers in a row after which a server is suspended. Single ones are caused by lost packets. */
const BROKEN_IN_ROW = 3
/** Weight of the newest answer in the moving averages, which then reflect about the last ten answers. */
const NEWEST_WEIGHT = 0.12
const SLOWNESS_AT_MOST = 20

const blend = (average: number, newest: number): number => average + NEWEST_WEIGHT * (newest - average)

const hold = (condition: InstanceCondition, failuresInRow: number, now: number): InstanceCondition => {
  const doublings = Math.min(failuresInRow - 1, 8)
  return { ...condition, failuresInRow, heldUntil: now + Math.min(LONGEST_HOLD_MS, FIRST_HOLD_MS * 2 ** doublings) }
}

const handlers: { readonly [Kind in ConditionEvent['kind']]: (condition: InstanceCondition, event: Extract<ConditionEvent, { kind: Kind }>, now: number) => InstanceCondition } = {
  // Several requests that time out during the same outage count as one failure.
  unreachable: (condition, _event, now) => now < condition.heldUntil ? condition : { ...hold(condition, condition.failuresInRow + 1, now), needsProof: true },
  reached: (condition, _event, now) => now < condition.heldUntil ? condition : { ...condition, needsProof: false },
  broken: (condition, _event, now) => {
    const failing = { ...condition, errorShare: blend(condition.errorShare, 1) }
    const failuresInRow = condition.failuresInRow + 1
    return failuresInRow < BROKEN_IN_ROW ? { ...failing, failuresInRow } : hold(failing, failuresInRow, now)
  },
  errored: (condition) => ({ ...condition, failuresInRow: 0, errorShare: blend(condition.errorShare, 1) }),
  answered: (condition, { slowness }) => ({
    failuresInRow: 0,
    heldUntil: -Infinity,
    needsProof: false,
    errorShare: blend(condition.errorShare, 0),
    slowness: blend(condition.slowness, Math.min(slowness, SLOWNESS_AT_MOST))
  })
}

/**
 * Updates the condition of a server with one event.
 *
 * @param condition - The condition before the event.
 * @param event - The outcome of one request or probe.
 * @param now - Monotonic milliseconds.
 * @returns The condition after the event.
 *
 * @example
 * advanceCondition(initialCondition, { kind: 'unreachable' }, 0).heldUntil // => 400
 */
export const advanceCondition = <Kind extends ConditionEvent['kind']>(condition: InstanceCondition, event: Extract<ConditionEvent, { kind: Kind }>, now: number): InstanceCondition => {
  const handler = handlers[event.kind] as (condition: InstanceCondition, event: ConditionEvent, now: number) => InstanceCondition
  return handler(condition, event, now)
}
