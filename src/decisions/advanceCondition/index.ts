/**
 * How a backend server does, judged by its answers to real requests: whether
 * it is out of reach, and how much slower or more often failing than it should
 * be. A dark server shows as silence, a grey one as errors beside good health.
 */

export type InstanceCondition = {
  /** Failures to reach it, or silences, since its last answer. */
  readonly failuresInRow: number
  /** Monotonic milliseconds until which it gets no work while others can take it. */
  readonly heldUntil: number
  /** Whether it stays held after that until a connection to it could be made. */
  readonly needsProof: boolean
  /** Share of its latest answers that were failures, in [0, 1]. */
  readonly errorShare: number
  /** Time to its first bytes against what such requests usually take, averaged. */
  readonly slowness: number
}

export type ConditionEvent =
  /** No connection, or no byte within the time that others need. */
  | { readonly kind: 'unreachable' }
  /** The connection ended or brought bytes that are no answer. */
  | { readonly kind: 'broken' }
  /** A connection to it was made for no other purpose. */
  | { readonly kind: 'reached' }
  /** It says that it failed while it ran the request. */
  | { readonly kind: 'errored' }
  | { readonly kind: 'answered', readonly slowness: number }

export const initialCondition: InstanceCondition = { failuresInRow: 0, heldUntil: -Infinity, needsProof: false, errorShare: 0, slowness: 1 }

/** Hold after the first failure in milliseconds: a few times the way to another zone and back. */
const FIRST_HOLD_MS = 400
/** Longest hold: a server that is back serves again within that time. */
const LONGEST_HOLD_MS = 2_000
/** Broken answers in a row that count as out of reach: single ones come with lost packets. */
const BROKEN_IN_ROW = 3
/** Weight of the newest answer in the averages: ten answers or so decide. */
const NEWEST_WEIGHT = 0.12
const SLOWNESS_AT_MOST = 20

const blend = (average: number, newest: number): number => average + NEWEST_WEIGHT * (newest - average)

const hold = (condition: InstanceCondition, failuresInRow: number, now: number): InstanceCondition => {
  const doublings = Math.min(failuresInRow - 1, 8)
  return { ...condition, failuresInRow, heldUntil: now + Math.min(LONGEST_HOLD_MS, FIRST_HOLD_MS * 2 ** doublings) }
}

const handlers: { readonly [Kind in ConditionEvent['kind']]: (condition: InstanceCondition, event: Extract<ConditionEvent, { kind: Kind }>, now: number) => InstanceCondition } = {
  // Several requests meet the same silence at once; they are one failure.
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
 * Takes one event into a server's condition.
 *
 * @param condition - The condition so far.
 * @param event - What happened to one request there.
 * @param now - Monotonic milliseconds.
 * @returns The condition after it.
 *
 * @example
 * advanceCondition(initialCondition, { kind: 'unreachable' }, 0).heldUntil // => 400
 */
export const advanceCondition = <Kind extends ConditionEvent['kind']>(condition: InstanceCondition, event: Extract<ConditionEvent, { kind: Kind }>, now: number): InstanceCondition => {
  const handler = handlers[event.kind] as (condition: InstanceCondition, event: ConditionEvent, now: number) => InstanceCondition
  return handler(condition, event, now)
}
