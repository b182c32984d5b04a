/**
 * Computes the time between two load sums of a large fleet. Load pattern: a burst of long
 * prompts at model engines, which read one in a few tenths of a second: by older sums, many
 * nodes send to the same engine before any of them sees it busy.
 */

export type LoadSumPeriodInput = {
  readonly servers: number
  /** Whether the configuration describes the engines of a service, whose unread prompts are part of the sums. */
  readonly hasEngines: boolean
}

/** Enough where requests take about a second and the load bound is twice the mean. */
export const MAXIMUM_PERIOD_MS = 400
const MINIMUM_PERIOD_MS = 150
/** The bytes of a sum grow with the servers; with the period growing as well, a node stays under 6 KB a second. */
const PERIOD_PER_SERVER_MS = 2.7

/**
 * Computes the period. It is the same on all nodes with the same servers and configuration, whose sums then follow each other without delay.
 *
 * @param input - Number of backend servers, and whether there are engines with unread prompts.
 * @returns Milliseconds.
 *
 * @example
 * computeLoadSumPeriod({ servers: 100, hasEngines: true }) // => 270
 */
export const computeLoadSumPeriod = ({ servers, hasEngines }: LoadSumPeriodInput): number =>
  hasEngines ? Math.min(MAXIMUM_PERIOD_MS, Math.max(MINIMUM_PERIOD_MS, servers * PERIOD_PER_SERVER_MS)) : MAXIMUM_PERIOD_MS
