/**
 * Computes how long a quarantined prompt part waits for its next trial: a single request of
 * the whole fleet that is sent although its part is quarantined. The first trials come soon,
 * as the part may be innocent; each one that ends a server makes the next one rarer.
 */

export type QuarantineHistory = {
  /** Backend servers that ended under the part. */
  readonly ends: number
  /** Trials so far, those without a result included. */
  readonly trials: number
}

/** Ends that lead to the quarantine. */
export const QUARANTINE_ENDS = 2

/** Trials without a result that are repeated as soon as the first one: their callers may have left. */
const FREE_TRIALS = 2

/** Milliseconds; the last delay repeats. */
const DELAYS_MS = [1_000, 4_000, 30_000, 300_000, 3_600_000] as const

/**
 * Computes the delay.
 *
 * @param history - Ends and trials of the part.
 * @returns Milliseconds from the last change of the history to the next trial.
 *
 * @example
 * computeTrialDelay({ ends: 2, trials: 0 }) // => 1000
 */
export const computeTrialDelay = ({ ends, trials }: QuarantineHistory): number => {
  const steps = Math.max(0, ends - QUARANTINE_ENDS, trials - FREE_TRIALS)
  return DELAYS_MS[Math.min(steps, DELAYS_MS.length - 1)]!
}
