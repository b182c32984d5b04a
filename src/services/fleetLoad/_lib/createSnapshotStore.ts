/**
 * Stores the latest snapshot of each source until it expires.
 */
import { unpackLoadCounts } from '../../../decisions/packLoadCounts/index.js'
import type { LoadSnapshot } from '../../../types/index.js'

export type SnapshotStore = {
  /** Stores a snapshot; returns `false` if a snapshot of the same source and node with the same or a higher sequence number is stored. */
  readonly put: (snapshot: LoadSnapshot, now: number) => boolean
  /** The sum over all sources, by the hash of the backend server's name. */
  readonly sum: (now: number) => ReadonlyMap<number, number>
  /** Number of sources, including expired ones that the next sum removes. */
  readonly size: () => number
  /** Number of sources that were received since the last sum. */
  readonly countNewSources: () => number
}

type Entry = { readonly snapshot: LoadSnapshot, readonly counts: ReadonlyMap<number, number>, readonly at: number }

export const createSnapshotStore = (maximumAgeMs: number): SnapshotStore => {
  const entries = new Map<string, Entry>()
  const receivedSources = new Set<string>()

  const isOutdated = (entry: Entry | undefined, snapshot: LoadSnapshot): boolean =>
    entry !== undefined && entry.snapshot.nodeId === snapshot.nodeId && entry.snapshot.sequence >= snapshot.sequence

  return {
    put: (snapshot, now) => {
      if (isOutdated(entries.get(snapshot.source), snapshot)) return false
      receivedSources.add(snapshot.source)
      entries.set(snapshot.source, { snapshot, counts: unpackLoadCounts(snapshot), at: now })
      return true
    },
    sum: (now) => {
      receivedSources.clear()
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
    countNewSources: () => receivedSources.size
  }
}
