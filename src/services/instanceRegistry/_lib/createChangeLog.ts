/**
 * Which backend servers changed lately, by name, so that a peer can be told
 * only what it lacks: at six hundred servers the whole list is some seventy
 * kilobytes, and a release changes several entries a second.
 */
import type { ChangePosition } from '../../../types/index.js'

export type ChangeLog = {
  readonly note: (name: string) => void
  readonly position: () => ChangePosition
  /** Names that changed since then, or `undefined` when the log doesn't reach back so far. */
  readonly listSince: (position: ChangePosition | undefined) => ReadonlySet<string> | undefined
}

/** A release that replaces six hundred servers makes some eighteen hundred changes; who lacks more gets the whole list. */
const CHANGES_KEPT = 2_000

/** Creates an empty log; `origin` tells this life of the list from others. */
export const createChangeLog = (origin: number): ChangeLog => {
  const names: string[] = []
  let sequence = 0
  return {
    note: (name) => {
      sequence += 1
      names.push(name)
      if (names.length > CHANGES_KEPT) names.shift()
    },
    position: () => ({ origin, sequence }),
    listSince: (position) => {
      if (position === undefined || position.origin !== origin || position.sequence > sequence) return undefined
      const missed = sequence - position.sequence
      return missed > names.length ? undefined : new Set(names.slice(names.length - missed))
    }
  }
}
