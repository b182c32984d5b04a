/**
 * The last snapshot of each source, dropped when it gets old.
 */
import { unpackLoadCounts } from '../../../decisions/packLoadCounts/index.js'
import type { LoadSnapshot } from '../../../types/index.js'

export type SnapshotStore = {
  /** Takes a snapshot in; gives `false` when a newer one of the same maker is here. */
  readonly put: (snapshot: LoadSnapshot, now: number) => boolean
  /** The sum over all sources, by the hash of the backend server's name. */
  readonly sum: (now: number) => ReadonlyMap<number, number>
  /** Sources, those included that the next sum drops. */
  readonly size: () => number
  /** Sources heard since the last sum. */
  readonly newSources: () => number
}

type Entry = { readonly snapshot: LoadSnapshot, readonly counts: ReadonlyMap<number, number>, readonly at: number }

export const createSnapshotStore = (maximumAgeMs: number): SnapshotStore => {
  const entries = new Map<string, Entry>()
  const heard = new Set<string>()

  const isOutdated = (entry: Entry | undefined, snapshot: LoadSnapshot): boolean =>
    entry !== undefined && entry.snapshot.nodeId === snapshot.nodeId && entry.snapshot.sequence >= snapshot.sequence

  return {
    put: (snapshot, now) => {
      if (isOutdated(entries.get(snapshot.source), snapshot)) return false
      heard.add(snapshot.source)
      entries.set(snapshot.source, { snapshot, counts: unpackLoadCounts(snapshot), at: now })
      return true
    },
    sum: (now) => {
      heard.clear()
      const sums = new Map<number, number>()
      for (const [source, { counts, at }] of entries) {
        if (now - at > maximumAgeMs) {
          entries.delete(source)
          continue
        }
        for (const [server, inFlight] of counts) sums.set(server, (sums.get(server) ?? 0) + inFlight)
      }
      return sums
    },
    size: () => entries.size,
    newSources: () => heard.size
  }
}
