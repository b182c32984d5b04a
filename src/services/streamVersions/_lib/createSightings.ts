/** Keeps what is in force in each scope and what was lately: the software versions of a service, or the services of a route. */
import type { Clock } from '../../../types/index.js'

export type Sighting = { readonly scope: string, readonly value: string }

export type Sightings = {
  /** Values that are in force, or were within the last `withinMs` milliseconds as far as this node knows. */
  readonly list: (scope: string, withinMs: number) => readonly string[]
  readonly isPresent: (sighting: Sighting) => boolean
  /** Whether any scope has the value beside another one, within the last `withinMs` milliseconds. */
  readonly isShared: (value: string, withinMs: number) => boolean
  /** Takes over what the platform has registered: what this node has not seen may have ended just now. */
  readonly takeOver: (registered: readonly Sighting[]) => void
  /** Takes what is in force now. */
  readonly update: (present: readonly Sighting[]) => void
}

/** Values that ended longer ago are forgotten, in milliseconds; longer than any stream lasts. */
const MAXIMUM_AGE_MS = 600_000

/** Creates the record. */
export const createSightings = (clock: Pick<Clock, 'now'>): Sightings => {
  /** By scope and value, the monotonic milliseconds at which a value ended; infinite while it is in force. */
  const endsByScope = new Map<string, Map<string, number>>()

  const getEnds = (scope: string): Map<string, number> => {
    const ends = endsByScope.get(scope) ?? new Map<string, number>()
    endsByScope.set(scope, ends)
    return ends
  }

  const endAbsent = (ends: Map<string, number>, present: ReadonlySet<string>): void => {
    const now = clock.now()
    for (const [value, endedAt] of ends) {
      if (endedAt === Infinity && !present.has(value)) ends.set(value, now)
      else if (endedAt < now - MAXIMUM_AGE_MS) ends.delete(value)
    }
  }

  const list: Sightings['list'] = (scope, withinMs) =>
    [...endsByScope.get(scope) ?? []].filter(([, endedAt]) => endedAt >= clock.now() - withinMs).map(([value]) => value)

  return {
    list,
    isPresent: ({ scope, value }) => endsByScope.get(scope)?.get(value) === Infinity,
    isShared: (value, withinMs) => [...endsByScope].some(([scope, ends]) => ends.size > 1 && ends.has(value) && list(scope, withinMs).length > 1),
    takeOver: (registered) => {
      for (const { scope, value } of registered) {
        const ends = getEnds(scope)
        if (!ends.has(value)) ends.set(value, clock.now())
      }
    },
    update: (present) => {
      const valuesByScope = new Map<string, Set<string>>()
      for (const { scope, value } of present) valuesByScope.set(scope, (valuesByScope.get(scope) ?? new Set()).add(value))
      for (const [scope, values] of valuesByScope) for (const value of values) getEnds(scope).set(value, Infinity)
      for (const [scope, ends] of endsByScope) endAbsent(ends, valuesByScope.get(scope) ?? new Set())
    }
  }
}
