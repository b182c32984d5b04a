/** Tracks for each service how long requests are in flight at its backend servers, from the recent requests of this node. */

export type HoldTimes = {
  /** Records that a request was in flight for so many milliseconds. */
  readonly record: (service: string, milliseconds: number) => void
  /**
   * Mean milliseconds for which a request that is in flight at any one moment still goes on.
   * Long requests are in flight for most of the time, so they count more than short ones.
   */
  readonly readRemaining: (service: string) => number
}

type Moments = { readonly mean: number, readonly meanOfSquares: number }

const WEIGHT = 0.05
/** Assumed before the first record, in milliseconds. */
const DEFAULT_REMAINING_MS = 300

/** Creates an empty record. */
export const createHoldTimes = (): HoldTimes => {
  const moments = new Map<string, Moments>()
  return {
    record: (service, milliseconds) => {
      const { mean, meanOfSquares } = moments.get(service) ?? { mean: milliseconds, meanOfSquares: milliseconds ** 2 }
      moments.set(service, { mean: mean + WEIGHT * (milliseconds - mean), meanOfSquares: meanOfSquares + WEIGHT * (milliseconds ** 2 - meanOfSquares) })
    },
    readRemaining: (service) => {
      const known = moments.get(service)
      return known === undefined || known.mean <= 0 ? DEFAULT_REMAINING_MS : known.meanOfSquares / known.mean / 2
    }
  }
}
