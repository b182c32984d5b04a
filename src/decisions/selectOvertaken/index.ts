/**
 * Selects the waiting requests that give way to others. Load pattern: more work than the
 * servers do for longer than callers wait. Served in order of their time left, all
 * requests would be served just too late, and the servers would be full with late answers.
 */

export type WaitingTime = {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Monotonic milliseconds until which a send can still meet the latency target. */
  readonly onTimeUntil: number
}

/**
 * Selects the requests that can't meet their latency target any more while a request
 * that is as urgent still can. Without such a one, late requests wait on: a late answer is
 * worth more than none.
 *
 * @param requests - The waiting requests.
 * @param now - Monotonic milliseconds.
 * @returns Those that are to be refused.
 *
 * @example
 * selectOvertaken([{ priority: 0, onTimeUntil: 100 }, { priority: 0, onTimeUntil: 900 }], 500) // => [{ priority: 0, onTimeUntil: 100 }]
 */
export const selectOvertaken = <Request extends WaitingTime>(requests: readonly Request[], now: number): readonly Request[] => {
  const mostUrgent = Math.min(...requests.filter(({ onTimeUntil }) => onTimeUntil > now).map(({ priority }) => priority))
  return requests.filter(({ priority, onTimeUntil }) => onTimeUntil <= now && priority >= mostUrgent)
}
