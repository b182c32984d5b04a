/**
 * The bound on ejections: when many servers of a service fail at once, the
 * cause is more likely shared, and throwing all of them out would turn a bad
 * hour into an outage.
 */

export type EjectionCandidate = {
  readonly backendServer: string
  readonly slots: number
  readonly isEjected: boolean
  /** Connections to it can't be made, which harms no request. */
  readonly isUnreachable: boolean
  /** Monotonic milliseconds since which it is ejected. */
  readonly since: number
}

/**
 * Decides which ejections of one service hold.
 *
 * Servers that can't be reached stay out, whatever the share: a request sent
 * there would surely fail, as it does when an availability zone is cut off.
 * Of the others, those that failed first stay out up to the share of the
 * slots that can be reached; the rest serve on. When every server is
 * unreachable, all are let in, since an attempt costs nothing then.
 *
 * @param candidates - The servers of one service that are not leaving.
 * @param maximumShare - Share of reachable slots that may be ejected, 0 to 1.
 * @returns Names of the servers that are out.
 *
 * @example
 * limitEjections(twoServersBothFailing, 0.5).size // => 1
 */
export const limitEjections = (candidates: readonly EjectionCandidate[], maximumShare: number): ReadonlySet<string> => {
  const reachable = candidates.filter((candidate) => !(candidate.isEjected && candidate.isUnreachable))
  if (reachable.length === 0) return new Set()
  const budget = maximumShare * reachable.reduce((sum, candidate) => sum + candidate.slots, 0)
  const out = new Set(candidates.filter((candidate) => !reachable.includes(candidate)).map((candidate) => candidate.backendServer))
  let spent = 0
  for (const candidate of reachable.filter(({ isEjected }) => isEjected).sort(compareBySince)) {
    if (spent + candidate.slots > budget) continue
    spent += candidate.slots
    out.add(candidate.backendServer)
  }
  return out
}

const compareBySince = (one: EjectionCandidate, other: EjectionCandidate): number =>
  one.since - other.since || (one.backendServer < other.backendServer ? -1 : 1)
