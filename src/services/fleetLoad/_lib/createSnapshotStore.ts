/**
 * Stores the latest snapshot of each source until it expires.
 */
import { unpackLoadCounts, unpackUnreadTokens } from '../../../decisions/packLoadCounts/index.js'
import type { LoadSnapshot } from '../../../types/index.js'

/** Requests in flight and unread prompt tokens, by the hash of the backend server's name. */
export type SnapshotCounts = { readonly counts: ReadonlyMap<number, number>, readonly unreadTokens: ReadonlyMap<number, number> }

export type SnapshotSum = SnapshotCounts & {
  /** Milliseconds since the oldest of the counts were read, without the time that they were on the way. */
  readonly ageMs: number
  /** The longest period that the sources state, in milliseconds; `undefined` where none does. */
  readonly periodMs: number | undefined
}

export type SnapshotStore = {
  /** Stores a snapshot; returns `false` if it is outdated: a later one of the same source and node is stored. */
  readonly put: (snapshot: LoadSnapshot, now: number) => boolean
  /** The sum over all sources. */
  readonly sum: (now: number) => SnapshotSum
}

type Entry = SnapshotCounts & { readonly snapshot: LoadSnapshot, readonly at: number }

const addTo = (sums: Map<number, number>, values: ReadonlyMap<number, number>): void => {
  for (const [server, value] of values) sums.set(server, (sums.get(server) ?? 0) + value)
}

/** A number that is lower by more than this is that of a node which restarted with an earlier clock. */
const REORDERED_SNAPSHOTS = 100

export const createSnapshotStore = (maximumAgeMs: number): SnapshotStore => {
  const entries = new Map<string, Entry>()

  const isOutdated = (entry: Entry | undefined, snapshot: LoadSnapshot): boolean => {
    if (entry === undefined || entry.snapshot.nodeId !== snapshot.nodeId) return false
    const distance = entry.snapshot.sequence - snapshot.sequence
    return distance >= 0 && distance < REORDERED_SNAPSHOTS
  }

  return {
    put: (snapshot, now) => {
      if (isOutdated(entries.get(snapshot.source), snapshot)) return false
      entries.set(snapshot.source, { snapshot, counts: unpackLoadCounts(snapshot), unreadTokens: unpackUnreadTokens(snapshot), at: now })
      return true
    },
    sum: (now) => {
      const counts = new Map<number, number>()
      const unreadTokens = new Map<number, number>()
      let ageMs = 0
      let periodMs: number | undefined
      for (const [source, entry] of entries) {
        if (now - entry.at > maximumAgeMs) {
          entries.delete(source)
          continue
        }
        addTo(counts, entry.counts)
        addTo(unreadTokens, entry.unreadTokens)
        ageMs = Math.max(ageMs, now - entry.at + (entry.snapshot.ageMs ?? 0))
        if (entry.snapshot.periodMs !== undefined) periodMs = Math.max(periodMs ?? 0, entry.snapshot.periodMs)
      }
      return { counts, unreadTokens, ageMs, periodMs }
    }
  }
}
