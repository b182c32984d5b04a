/**
 * Computes how much a count of requests in flight still says. Load pattern: requests that
 * last a few hundredths of a second, counted a few tenths ago: none of them is in flight
 * any more, and a server that was idle then is now as busy as the others.
 */

export type CountSurvivalInput = {
  /** Milliseconds since the requests were counted. */
  readonly ageMs: number
  /** Mean milliseconds for which a request in flight goes on; above 0. */
  readonly remainingMs: number
}

/**
 * Computes the share of the counted requests that are still in flight, if their remaining times are exponentially distributed.
 *
 * @param input - Age of the count, and how long requests go on.
 * @returns A share from 0 to 1.
 *
 * @example
 * computeCountSurvival({ ageMs: 0, remainingMs: 40 }) // => 1
 */
export const computeCountSurvival = ({ ageMs, remainingMs }: CountSurvivalInput): number => Math.exp(-ageMs / remainingMs)
