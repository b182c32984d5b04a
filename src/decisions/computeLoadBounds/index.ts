/**
 * The load bound: how many requests a backend server may carry, as a multiple
 * of the weighted mean over the servers that share the work.
 */

/** A backend server with its weight and what it is thought to carry. */
export type LoadedCandidate = {
  readonly name: string
  /** Share of the work it should get, in slots. Above 0. */
  readonly weight: number
  /** Requests in flight on it from the whole fleet, as far as known. */
  readonly inFlight: number
}

/**
 * Computes how many requests each candidate may carry, the one that is about
 * to be placed included.
 *
 * A candidate's bound is `multiple` times its share, by weight, of all requests
 * in flight, rounded up: with fewer requests than servers a server must still
 * be able to carry one. As `multiple` is at least 1, the bounds sum to more
 * than the requests in flight, so some candidate is always under its bound.
 *
 * @param candidates - The backend servers that share the work.
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
