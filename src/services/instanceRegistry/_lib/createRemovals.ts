/**
 * Records which backend servers were removed from the list, and at which revision of the
 * source. A partitioned peer still reports a server that was removed; without this record
 * its report would add the server again, and requests would reach a server that has
 * already drained.
 */
import type { BackendInstance, Clock } from '../../../types/index.js'

export type Removals = {
  readonly record: (instance: BackendInstance, revision: number) => void
  /** Whether this incarnation of the server was removed at the given revision or a later one; an entry that was added again has a higher revision. */
  readonly isRemovedAsOf: (instance: BackendInstance, revision: number) => boolean
  /** Lists the removed servers that presumably still serve, latest first. */
  readonly listDraining: () => readonly BackendInstance[]
  /** The server no longer exists: another one has its address. */
  readonly markGone: (id: string) => void
}

type Removal = { readonly instance: BackendInstance, readonly revision: number, readonly at: number, isGone: boolean }

/** Equal to the length of the change log: a peer that lags more gets complete lists. */
const MAXIMUM_REMOVALS = 2_000

/** Creates the record; `drainMs` is how long a server still serves after its entry was removed, in milliseconds. */
export const createRemovals = (clock: Pick<Clock, 'now'>, drainMs: number): Removals => {
  const removals = new Map<string, Removal>()

  return {
    record: (instance, revision) => {
      removals.delete(instance.id)
      removals.set(instance.id, { instance, revision, at: clock.now(), isGone: false })
      if (removals.size <= MAXIMUM_REMOVALS) return
      const [oldest] = removals.keys()
      if (oldest !== undefined) removals.delete(oldest)
    },
    isRemovedAsOf: (instance, revision) => {
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
