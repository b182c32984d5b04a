/**
 * Outlier ejection of a backend server that fails or flaps. The ejection time
 * doubles with each ejection. The server then returns in slow start, with a
 * small share of its slots that grows; a failure in slow start ejects it again.
 */
import type { AttemptOutcome } from '../../types/index.js'

export type EjectionPhase = 'live' | 'ejected' | 'slowStart'

export type Ejection = {
  readonly phase: EjectionPhase
  /** Cause of the current or last ejection: failed requests, or connections that could not be made. */
  readonly cause: 'failed' | 'unreachable'
  /** Failed attempts in a row. */
  readonly failures: number
  /** Failed connections in a row, of attempts and probes. */
  readonly failedConnections: number
  /** Unanswered probes in a row. */
  readonly unansweredProbes: number
  /** Moving average of the share of failed attempts, 0 to 1. */
  readonly failureRate: number
  /** Ejections that still count for the next ejection time. */
  readonly ejections: number
  /** Monotonic milliseconds at which the phase began. */
  readonly since: number
  /** Monotonic milliseconds until which it is ejected. */
  readonly ejectedUntil: number
}

/** The outcome of an attempt or a probe, or a timer tick. A probe that could not connect is `notSent`. */
export type EjectionEvent = AttemptOutcome | 'probeAnswered' | 'probeUnanswered' | 'tick'

export type EjectionLimits = {
  /** Failed attempts in a row after which the server is ejected. */
  readonly failures: number
  /** Failed connections in a row after which the server is ejected as unreachable. */
  readonly failedConnections: number
  /** Unanswered probes in a row after which the server is ejected. */
  readonly unansweredProbes: number
  /** Failure rate above which the server is ejected, for servers that alternate between failure and success. */
  readonly failureRate: number
  readonly holdMs: number
  readonly maximumHoldMs: number
  readonly slowStartMs: number
  /** Time without an ejection after which earlier ones no longer count. */
  readonly forgetAfterMs: number
}

/** Share of its slots that a server has at the start of slow start. */
export const INITIAL_WEIGHT_SHARE = 0.1

const SMOOTHING_FACTOR = 0.1

const NO_FAILURES = { failures: 0, failedConnections: 0, unansweredProbes: 0, failureRate: 0 }

type Handler = (ejection: Ejection, now: number, limits: EjectionLimits) => Ejection

/**
 * Creates the initial state of a server.
 *
 * @returns A live state without failures.
 *
 * @example
 * createEjection().phase // => 'live'
 */
export const createEjection = (): Ejection =>
  ({ phase: 'live', cause: 'failed', ...NO_FAILURES, ejections: 0, since: 0, ejectedUntil: 0 })

/**
 * Applies one event to the ejection state of a server.
 *
 * @param ejection - The state before the event.
 * @param event - The event to apply.
 * @param now - Monotonic time in milliseconds.
 * @param limits - Failure limits and times in milliseconds.
 * @returns The new state; the same object when nothing changed.
 *
 * @example
 * advanceEjection(createEjection(), 'complete', 0, limits).phase // => 'live'
 */
export const advanceEjection = (ejection: Ejection, event: EjectionEvent, now: number, limits: EjectionLimits): Ejection =>
  handlers[event](advanceTime(ejection, now, limits), now, limits)

const advanceTime: Handler = (ejection, now, limits) => {
  if (ejection.phase === 'ejected' && now >= ejection.ejectedUntil) {
    return { ...ejection, phase: 'slowStart', since: ejection.ejectedUntil, ...NO_FAILURES }
  }
  if (ejection.phase === 'slowStart' && now >= ejection.since + limits.slowStartMs) return { ...ejection, phase: 'live', since: now }
  const isHistoryExpired = ejection.phase === 'live' && ejection.ejections > 0 && now >= ejection.since + limits.forgetAfterMs
  return isHistoryExpired ? { ...ejection, ejections: 0 } : ejection
}

const eject = (ejection: Ejection, cause: Ejection['cause'], now: number, limits: EjectionLimits): Ejection => {
  const holdMs = Math.min(limits.maximumHoldMs, limits.holdMs * 2 ** ejection.ejections)
  return { ...ejection, phase: 'ejected', cause, ejections: ejection.ejections + 1, since: now, ejectedUntil: now + holdMs }
}

const recordFailure = (updated: Ejection, cause: Ejection['cause'], isOverLimit: boolean, now: number, limits: EjectionLimits): Ejection => {
  // A server that still fails at the end of its ejection would return only to fail
  // again. Failures of requests already in flight do not count as a second ejection.
  if (updated.phase === 'ejected') return { ...updated, cause, ejectedUntil: Math.max(updated.ejectedUntil, now + limits.holdMs) }
  return updated.phase === 'slowStart' || isOverLimit ? eject(updated, cause, now, limits) : updated
}

const handlers: Readonly<Record<EjectionEvent, Handler>> = {
  tick: (ejection) => ejection,
  refused: (ejection) => ejection,
  complete: (ejection) => {
    if (ejection.failures === 0 && ejection.failedConnections === 0 && ejection.failureRate === 0) return ejection
    return { ...ejection, failures: 0, failedConnections: 0, failureRate: ejection.failureRate * (1 - SMOOTHING_FACTOR) }
  },
  failed: (ejection, now, limits) => {
    const failures = ejection.failures + 1
    const failureRate = ejection.failureRate + SMOOTHING_FACTOR * (1 - ejection.failureRate)
    const isOverLimit = failures >= limits.failures || failureRate > limits.failureRate
    return recordFailure({ ...ejection, failures, failureRate }, 'failed', isOverLimit, now, limits)
  },
  notSent: (ejection, now, limits) => {
    const failedConnections = ejection.failedConnections + 1
    return recordFailure({ ...ejection, failedConnections }, 'unreachable', failedConnections >= limits.failedConnections, now, limits)
  },
  // An answered probe shows that the server is reachable, not that requests succeed there.
  probeAnswered: (ejection) => ejection.failedConnections === 0 && ejection.unansweredProbes === 0 ? ejection : { ...ejection, failedConnections: 0, unansweredProbes: 0 },
  probeUnanswered: (ejection, now, limits) => {
    const unansweredProbes = ejection.unansweredProbes + 1
    return recordFailure({ ...ejection, unansweredProbes }, 'failed', unansweredProbes >= limits.unansweredProbes, now, limits)
  }
}

/**
 * Computes the share of its slots for which a server may get requests.
 *
 * @param ejection - The ejection state of the server.
 * @param now - Monotonic time in milliseconds.
 * @param limits - The length of the slow start in milliseconds.
 * @returns 0 while ejected, growing to 1 during slow start, otherwise 1.
 *
 * @example
 * computeWeightShare(createEjection(), 0, limits) // => 1
 */
export const computeWeightShare = (ejection: Ejection, now: number, limits: EjectionLimits): number => {
  if (ejection.phase === 'live') return 1
  if (ejection.phase === 'ejected') return 0
  const progress = Math.min(1, Math.max(0, now - ejection.since) / limits.slowStartMs)
  return INITIAL_WEIGHT_SHARE + (1 - INITIAL_WEIGHT_SHARE) * progress
}
