/**
 * Plans until when a sum of load counts waits for sources that have not reported yet. Load
 * pattern: a node that is slow, paused or dead must not hold up the counts of all others,
 * and zones whose rounds began at different times must get into step.
 */

export type LoadSumInput = {
  /** Monotonic milliseconds at which the counts arrive. */
  readonly arrivedAt: number
  /** When the last sum was published; `-Infinity` before the first. */
  readonly summedAt: number
  readonly periodMs: number
  /** When counts of the pacemaker last arrived, these included: the source by which all sums of the fleet go. Omitted without one. */
  readonly pacedAt?: number
}

export type LoadSumPlan =
  /** The counts came too late for the last sum, and are not the next ones of their source. */
  | { readonly kind: 'late' }
  /** They belong to the next sum, which waits no longer than until `deadline` for the others. */
  | { readonly kind: 'next', readonly deadline: number }

/** Part of the period after a sum in which late counts of the same round arrive. */
const LATE_PERIODS = 0.5
/** Longest wait for further sources, in periods. */
const WAIT_PERIODS = 0.3
/** Longest wait for the pacemaker, in periods. */
const WAIT_FOR_PACE_PERIODS = 1.5
/** Time after which a pacemaker that has not reported is not waited for, in periods. */
const PACE_LIFETIME_PERIODS = 2.5

/**
 * Plans the sum to which counts belong. If late counts were taken for the next ones, the next sum
 * would be complete without waiting for their source, which would then be late each time.
 *
 * @param input - Arrival, last sum, pacemaker and period.
 * @returns Whether the counts belong to the next sum, and the latest time of that.
 *
 * @example
 * planLoadSum({ arrivedAt: 1_400, summedAt: 1_000, periodMs: 400 }) // => { kind: 'next', deadline: 1_520 }
 */
export const planLoadSum = ({ arrivedAt, summedAt, periodMs, pacedAt = -Infinity }: LoadSumInput): LoadSumPlan => {
  const isPaced = pacedAt > summedAt
  if (!isPaced && arrivedAt - summedAt < LATE_PERIODS * periodMs) return { kind: 'late' }
  const awaitsPace = !isPaced && arrivedAt - pacedAt < PACE_LIFETIME_PERIODS * periodMs
  return { kind: 'next', deadline: arrivedAt + (awaitsPace ? WAIT_FOR_PACE_PERIODS : WAIT_PERIODS) * periodMs }
}
