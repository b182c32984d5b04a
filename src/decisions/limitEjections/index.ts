/**
 * Bounds the share of a service's servers that are ejected. When many servers
 * fail at once, the cause is more likely shared, and ejecting all of them would
 * turn a partial failure into an outage.
 */

export type EjectionCandidate = {
  readonly backendServer: string
  readonly slots: number
  readonly isEjected: boolean
  /** Connections to the server fail, so that no request has run on it. */
  readonly isUnreachable: boolean
  /** When the server was ejected, in monotonic milliseconds. */
  readonly since: number
}

/**
 * Decides which ejections of one service take effect.
 *
 * Unreachable servers stay ejected regardless of the share: a request sent to
 * one would fail, as it does when an availability zone is cut off. Of the
 * others, those that failed first stay ejected, up to the given share of the
 * reachable slots; the rest keep serving. When every server is unreachable,
 * none is ejected, since an attempt costs nothing then.
 *
 * @param candidates - The servers of one service that are not leaving.
 * @param maximumShare - Share of reachable slots that may be ejected, 0 to 1.
 * @returns Names of the ejected servers.
 *
 * @example
 * limitEjections(twoServersBothFailing, 0.5).size // => 1
 */
export const limitEjections = (candidates: readonly EjectionCandidate[], maximumShare: number): ReadonlySet<string> => {
  const reachable = candidates.filter((candidate) => !(candidate.isEjected && candidate.isUnreachable))
  if (reachable.length === 0) return new Set()
  const maximumEjectedSlots = maximumShare * reachable.reduce((sum, candidate) => sum + candidate.slots, 0)
  const ejected = new Set(candidates.filter((candidate) => !reachable.includes(candidate)).map((candidate) => candidate.backendServer))
  let ejectedSlots = 0
  for (const candidate of reachable.filter(({ isEjected }) => isEjected).sort(compareBySince)) {
    if (ejectedSlots + candidate.slots > maximumEjectedSlots) continue
    ejectedSlots += candidate.slots
    ejected.add(candidate.backendServer)
  }
  return ejected
}

const compareBySince = (one: EjectionCandidate, other: EjectionCandidate): number =>
  one.since - other.since || (one.backendServer < other.backendServer ? -1 : 1)
