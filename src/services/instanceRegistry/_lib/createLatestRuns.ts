/**
 * Tells stale copies of an entry from entries that were written later. An earlier start under the same id is usually a
 * stale copy. But any program may write an entry, with any time as its start, and the server itself writes over it.
 */
import type { EntryOrigin } from './createWarmUpDeadlines.js'
import type { BackendInstance } from '../../../types/index.js'

type Run = Pick<BackendInstance, 'id' | 'incarnation'>

export type RunOrder = 'stale' | 'rewritten' | 'latest'

export type LatestRuns = {
  /** Records a run that a list or change states as of `revision`, unless it is stale; `rewritten`: an earlier run whose entry was written after that of the latest. */
  readonly record: (run: Run, origin: EntryOrigin, revision: number) => RunOrder
}

type Sighting = { readonly incarnation: number, readonly revision: number }

/** Bounds the memory: beyond it, the id that was new first is forgotten. */
const MAXIMUM_IDS = 4_000

/** Creates the record, without any runs yet. */
export const createLatestRuns = (): LatestRuns => {
  const latest = new Map<string, Sighting>()

  /** The source's own changes are in order, also those of one revision; a peer may have read at that revision what has changed since. */
  const isLater = (known: Sighting, origin: EntryOrigin, revision: number): boolean => origin === 'peer' ? revision > known.revision : revision >= known.revision

  return {
    record: ({ id, incarnation }, origin, revision) => {
      const known = latest.get(id)
      const isEarlierRun = known !== undefined && incarnation < known.incarnation
      if (isEarlierRun && !isLater(known, origin, revision)) return 'stale'
      latest.set(id, { incarnation, revision: Math.max(revision, known?.revision ?? revision) })
      const [oldest] = latest.keys()
      if (latest.size > MAXIMUM_IDS && oldest !== undefined) latest.delete(oldest)
      return isEarlierRun ? 'rewritten' : 'latest'
    }
  }
}
