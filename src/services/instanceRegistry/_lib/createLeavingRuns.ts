/**
 * Remembers which runs of backend servers are leaving, apart from the list: an entry may
 * disappear and come back as ready, while the server is still shutting down.
 */
import type { BackendInstance } from '../../../types/index.js'

type Run = Pick<BackendInstance, 'id' | 'incarnation'>

export type LeavingRuns = {
  /** Records that a run is leaving; returns whether that was not known yet. */
  readonly record: (run: Run) => boolean
  /** Whether the run, or a later one of the same server, is leaving. */
  readonly has: (run: Run) => boolean
  readonly forget: (id: string) => void
}

/** Bounds the memory: the run that left first is forgotten, and counts as ready if its entry comes back. */
const MAXIMUM_RUNS = 2_000

/** Creates the record, without any runs yet. */
export const createLeavingRuns = (): LeavingRuns => {
  const incarnations = new Map<string, number>()
  const has = ({ id, incarnation }: Run): boolean => incarnation <= (incarnations.get(id) ?? -Infinity)
  return {
    record: (run) => {
      if (has(run)) return false
      incarnations.delete(run.id)
      incarnations.set(run.id, run.incarnation)
      const [oldest] = incarnations.keys()
      if (incarnations.size > MAXIMUM_RUNS && oldest !== undefined) incarnations.delete(oldest)
      return true
    },
    has,
    forget: (id) => { incarnations.delete(id) }
  }
}
