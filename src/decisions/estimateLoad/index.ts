/**
 * Estimates the present load of a backend server from counts that are some time old. Load
 * pattern: a server that holds a prompt in demand, to which all nodes send while the last
 * count is under the bound, and none while it is over.
 */

export type LoadObservation = {
  /** Requests in flight from this node, which it counts exactly. */
  readonly ownLoad: number
  /** Requests in flight from other nodes when they were last counted. */
  readonly othersLoad: number
  /** The same, averaged over the last counts. */
  readonly averageOthersLoad: number
  /** Share of the counted requests that are still in flight. */
  readonly countSurvival: number
}

export type LoadDistribution = {
  readonly expected: number
  /** Standard deviation of the load around the expected one. */
  readonly deviation: number
}

/**
 * Estimates the load: each counted request is still in flight with the same probability, and
 * those that ended are replaced by as many as the server has on average.
 *
 * @param observation - What is known of the server's load.
 * @returns The load in requests in flight, without the request to be placed.
 *
 * @example
 * estimateLoad({ ownLoad: 1, othersLoad: 4, averageOthersLoad: 4, countSurvival: 1 }) // => { expected: 5, deviation: 0 }
 */
export const estimateLoad = ({ ownLoad, othersLoad, averageOthersLoad, countSurvival }: LoadObservation): LoadDistribution => {
  const uncounted = (1 - countSurvival) * averageOthersLoad
  return {
    expected: ownLoad + countSurvival * othersLoad + uncounted,
    deviation: Math.sqrt(countSurvival * (1 - countSurvival) * othersLoad + uncounted)
  }
}
