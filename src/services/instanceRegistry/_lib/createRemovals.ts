/**
 * Backend servers that were taken out of the list, and as of which revision of
 * the source. A peer that is cut off goes on telling of a server that left; without
 * this memory its word brings the server back, and requests reach it when it has
 * drained.
 */
import type { BackendInstance, Clock } from '../../../types/index.js'

export type Removals = {
  readonly note: (instance: BackendInstance, revision: number) => void
  /** Whether this start of the server was removed at the given revision or a later one; its entry's return has a higher one. */
  readonly isAsNewAs: (instance: BackendInstance, revision: number) => boolean
  /** Servers that still serve, as far as is known. */
  readonly listDraining: () => readonly BackendInstance[]
  /** The server no longer has its address. */
  readonly markGone: (id: string) => void
}

type Removal = { readonly instance: BackendInstance, readonly revision: number, readonly at: number, isGone: boolean }

/** As many as the log of changes reaches back: older news of peers come as whole lists. */
const REMOVALS_KEPT = 2_000

/** Creates the memory; `drainMs` is how long a server serves on after its entry was removed. */
export const createRemovals = (clock: Pick<Clock, 'now'>, drainMs: number): Removals => {
  const removals = new Map<string, Removal>()

  return {
    note: (instance, revision) => {
      removals.delete(instance.id)
      removals.set(instance.id, { instance, revision, at: clock.now(), isGone: false })
      if (removals.size <= REMOVALS_KEPT) return
      const [oldest] = removals.keys()
      if (oldest !== undefined) removals.delete(oldest)
    },
    isAsNewAs: (instance, revision) => {
      const removal = removals.get(instance.id)
      return removal !== undefined && removal.revision >= revision && instance.incarnation <= removal.instance.incarnation
    },
    listDraining: () => {
      const draining: BackendInstance[] = []
      for (const { instance, at, isGone } of [...removals.values()].reverse()) {
        if (clock.now() - at >= drainMs) break
        if (!isGone) draining.push(instance)
      }
      return draining
    },
    markGone: (id) => {
      const removal = removals.get(id)
      if (removal !== undefined) removal.isGone = true
    }
  }
}
