/**
 * Passive health tracking of a backend server from its answers to real
 * requests: whether it is unreachable, its error rate, and how much slower than
 * usual it is. An unreachable server sends nothing; a degraded one (gray
 * failure) returns errors or is slow while its health checks still pass.
 */

export type InstanceHealthState = {
  /** Times in a row that it was unreachable, did not respond or broke off, since its last answer. */
  readonly consecutiveFailures: number
  /** Monotonic milliseconds until which it is suspended: it gets no requests while other servers can take them. */
  readonly suspendedUntil: number
  /** Whether it stays suspended after that until a connection to it succeeds. */
  readonly needsProbe: boolean
  /** Moving average of the share of its answers that were failures, in [0, 1]. */
  readonly errorShare: number
  /** Moving average of its time to first byte, as a multiple of the usual time of such requests. */
  readonly slowness: number
}

export type InstanceHealthEvent =
  /** No connection could be opened. */
  | { readonly kind: 'unreachable' }
  /** No byte arrived within the time that other servers need. */
  | { readonly kind: 'silent' }
  /** The connection ended early, or its bytes were not a valid answer. */
  | { readonly kind: 'broken' }
  /** A connection that was opened only to probe the server succeeded. */
  | { readonly kind: 'reached' }
  /** The server reports that it failed while it ran the request. */
  | { readonly kind: 'errored' }
  | { readonly kind: 'answered', readonly slowness: number }

export const initialInstanceHealth: InstanceHealthState = { consecutiveFailures: 0, suspendedUntil: -Infinity, needsProbe: false, errorShare: 0, slowness: 1 }

/** Suspension after the first failure: a few round trips to another zone. Doubles with each further failure. */
const INITIAL_SUSPENSION_MS = 400
/** Bounds the suspension, so that a recovered server serves again within that time. */
const MAXIMUM_SUSPENSION_MS = 2_000
/** Broken answers in a row after which a server is suspended. Single ones are caused by lost packets. */
const BROKEN_ANSWERS_TO_SUSPEND = 3
/** Weight of the newest answer in the moving averages, which then reflect about the last ten answers. */
const SMOOTHING_FACTOR = 0.12
const MAXIMUM_SLOWNESS = 20

const updateAverage = (average: number, newest: number): number => average + SMOOTHING_FACTOR * (newest - average)

const suspend = (health: InstanceHealthState, consecutiveFailures: number, now: number): InstanceHealthState => {
  const doublings = Math.min(consecutiveFailures - 1, 8)
  return { ...health, consecutiveFailures, suspendedUntil: now + Math.min(MAXIMUM_SUSPENSION_MS, INITIAL_SUSPENSION_MS * 2 ** doublings) }
}

// Several requests that time out during the same outage count as one failure.
const suspendUntilReached = (health: InstanceHealthState, now: number): InstanceHealthState =>
  now < health.suspendedUntil ? health : { ...suspend(health, health.consecutiveFailures + 1, now), needsProbe: true }

const handlers: { readonly [Kind in InstanceHealthEvent['kind']]: (health: InstanceHealthState, event: Extract<InstanceHealthEvent, { kind: Kind }>, now: number) => InstanceHealthState } = {
  unreachable: (health, _event, now) => suspendUntilReached(health, now),
  silent: (health, _event, now) => suspendUntilReached(health, now),
  reached: (health, _event, now) => now < health.suspendedUntil ? health : { ...health, needsProbe: false },
  broken: (health, _event, now) => {
    const failing = { ...health, errorShare: updateAverage(health.errorShare, 1) }
    const consecutiveFailures = health.consecutiveFailures + 1
    return consecutiveFailures < BROKEN_ANSWERS_TO_SUSPEND ? { ...failing, consecutiveFailures } : suspend(failing, consecutiveFailures, now)
  },
  errored: (health) => ({ ...health, consecutiveFailures: 0, errorShare: updateAverage(health.errorShare, 1) }),
  answered: (health, { slowness }) => ({
    consecutiveFailures: 0,
    suspendedUntil: -Infinity,
    needsProbe: false,
    errorShare: updateAverage(health.errorShare, 0),
    slowness: updateAverage(health.slowness, Math.min(slowness, MAXIMUM_SLOWNESS))
  })
}

/**
 * Updates the health state of a server with one event.
 *
 * @param health - The health state before the event.
 * @param event - The outcome of one request or probe.
 * @param now - Monotonic milliseconds.
 * @returns The health state after the event.
 *
 * @example
 * advanceInstanceHealth(initialInstanceHealth, { kind: 'unreachable' }, 0).suspendedUntil // => 400
 */
export const advanceInstanceHealth = <Kind extends InstanceHealthEvent['kind']>(health: InstanceHealthState, event: Extract<InstanceHealthEvent, { kind: Kind }>, now: number): InstanceHealthState => {
  const handler = handlers[event.kind] as (health: InstanceHealthState, event: InstanceHealthEvent, now: number) => InstanceHealthState
  return handler(health, event, now)
}
