/**
 * Computes load bounds: how many requests a backend server may have in flight,
 * as a multiple of the weighted mean over the servers of its service.
 */

/** A backend server with its weight and its estimated load. */
export type LoadedCandidate = {
  readonly name: string
  /** Weight by which it should get requests, in slots. Above 0. */
  readonly weight: number
  /** Requests in flight on it from the whole fleet, as last reported or as expected. */
  readonly inFlight: number
  /** Of these, requests of other nodes that have probably begun since they were counted; 0 by default. */
  readonly uncountedLoad?: number
}

/**
 * Computes how many requests each candidate may have in flight, including the
 * one that is about to be placed.
 *
 * A candidate's bound is `multiple` times its share, by weight, of all requests
 * in flight. It is rounded up, so that a server may take one request even when
 * there are fewer requests than servers. As `multiple` is at least 1, the bounds
 * add up to more than the requests in flight, so at least one candidate is
 * always under its bound.
 *
 * @param candidates - The backend servers of the service.
 * @param multiple - Multiple of the weighted mean; at least 1.
 * @returns The bound of each candidate by name, in requests.
 *
 * @example
 * computeLoadBounds([{ name: 'engine-1', weight: 8, inFlight: 3 }], 1.25).get('engine-1') // => 5
 */
export const computeLoadBounds = (candidates: readonly LoadedCandidate[], multiple: number): ReadonlyMap<string, number> => {
  const total = candidates.reduce((sum, candidate) => sum + candidate.inFlight, 0) + 1
  const totalWeight = candidates.reduce((sum, candidate) => sum + candidate.weight, 0)
  return new Map(candidates.map((candidate) => [candidate.name, Math.ceil(multiple * total * candidate.weight / totalWeight)]))
}
