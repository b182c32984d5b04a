/**
 * Computes how long a quarantined prompt part waits for its next trial: a single request of
 * the whole fleet that is sent although its part is quarantined. The first trial comes at
 * once, as the part may be innocent, and each further one later. A trial without a result
 * counts like one that ended a server, since that end may not have been noticed.
 */
import type { QuarantinedPart } from '../../types/index.js'

/** Milliseconds, by number of trials, or of ends since the quarantine began; the last delay repeats. */
const DELAYS_MS = [0, 3_000, 20_000, 120_000, 3_600_000] as const

/**
 * Computes the delay.
 *
 * @param part - Ends and trials of the part.
 * @returns Milliseconds from the last trial, or the last end if that is later, to the next trial.
 *
 * @example
 * computeTrialDelay({ servers: ['s1@1', 's2@1'], endsAtFirst: 2, trials: 1 }) // => 1000
 */
export const computeTrialDelay = ({ servers, endsAtFirst, trials }: Pick<QuarantinedPart, 'servers' | 'endsAtFirst' | 'trials'>): number => {
  const steps = Math.max(trials, servers.length - endsAtFirst)
  return DELAYS_MS[Math.min(steps, DELAYS_MS.length - 1)]!
}
