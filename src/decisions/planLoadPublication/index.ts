/**
 * Plans when a node of a large fleet publishes its load counts next. Load pattern: VMs whose
 * wall clocks differ or jump and whose processes pause, so that no common time of day can set
 * the pace. The arrival of a total sets it: all nodes of a zone get it within milliseconds.
 */

export type LoadPublicationInput = {
  /** Monotonic milliseconds of the node's last publication. */
  readonly publishedAt: number
  /** Arrival of the last total since then, in monotonic milliseconds; `undefined` without one. */
  readonly totalAt: number | undefined
  readonly periodMs: number
}

/** Time for which nodes rest after a total, in periods; the rest of the period is for the next counts and sums on their way. */
const REST_PERIODS = 0.85
/** Time between two publications while no total arrives, in periods. */
const PERIODS_WITHOUT_TOTAL = 1.5
/** Bounds on the time between two publications, in periods, whatever totals arrive. */
const SHORTEST_PERIODS = 0.5
const LONGEST_PERIODS = 2.5

/**
 * Plans the next publication.
 *
 * @param input - Last publication, last total and period.
 * @returns Monotonic milliseconds.
 *
 * @example
 * planLoadPublication({ publishedAt: 1_000, totalAt: 1_030, periodMs: 400 }) // => 1_370
 */
export const planLoadPublication = ({ publishedAt, totalAt, periodMs }: LoadPublicationInput): number => {
  if (totalAt === undefined) return publishedAt + PERIODS_WITHOUT_TOTAL * periodMs
  return Math.min(publishedAt + LONGEST_PERIODS * periodMs, Math.max(publishedAt + SHORTEST_PERIODS * periodMs, totalAt + REST_PERIODS * periodMs))
}
