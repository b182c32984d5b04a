/**
 * Logs the names of backend servers that changed recently, so that a peer is sent only the
 * changes that it lacks: with six hundred servers the complete list is about seventy
 * kilobytes, and a release changes several entries a second.
 */
import type { ChangePosition } from '../../../types/index.js'

export type ChangeLog = {
  readonly record: (name: string) => void
  readonly position: () => ChangePosition
  /** Returns the names that changed since the position, or `undefined` when the log does not reach back that far. */
  readonly listSince: (position: ChangePosition | undefined) => ReadonlySet<string> | undefined
}

/** A release that replaces six hundred servers makes about eighteen hundred changes; a peer that lacks more gets the complete list. */
const MAXIMUM_CHANGES = 2_000

/** Creates an empty log; `origin` distinguishes it from logs of earlier runs and other nodes. */
export const createChangeLog = (origin: number): ChangeLog => {
  const names: string[] = []
  let sequence = 0
  return {
    record: (name) => {
      sequence += 1
      names.push(name)
      if (names.length > MAXIMUM_CHANGES) names.shift()
    },
    position: () => ({ origin, sequence }),
    listSince: (position) => {
      if (position === undefined || position.origin !== origin || position.sequence > sequence) return undefined
      const missed = sequence - position.sequence
      return missed > names.length ? undefined : new Set(names.slice(names.length - missed))
    }
  }
}
