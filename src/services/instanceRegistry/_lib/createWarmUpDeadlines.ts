/**
 * Tracks until when recently started backend servers warm up. An entry states the warm-up
 * time that remained when it was written; the node counts down from when it received the
 * entry.
 */
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import type { BackendInstance, Clock } from '../../../types/index.js'

/** How an entry was received: as a change when it was made, in a list that may repeat an old entry, or from a peer. */
export type EntryOrigin = 'change' | 'list' | 'peer'

export type WarmUpDeadlines = {
  /** Records the warm-up of an entry; returns whether it ends later than recorded before. */
  readonly record: (instance: BackendInstance, origin: EntryOrigin) => boolean
  /** Remaining warm-up in milliseconds; 0 when there is none. */
  readonly remainingMs: (instance: Pick<BackendInstance, 'id' | 'incarnation'>) => number
  readonly forget: (instance: BackendInstance) => void
}

type WarmUpDeadline = { readonly statedMs: number, readonly until: number }

/** Entries from peers arrive some milliseconds late; a warm-up that ends later by no more than this is the same one. */
const TOLERANCE_MS = 250

export const createWarmUpDeadlines = (clock: Pick<Clock, 'now'>): WarmUpDeadlines => {
  const deadlines = new Map<string, WarmUpDeadline>()
  return {
    record: (instance, origin) => {
      const { warmUpMs } = instance
      const key = formatInstanceKey(instance)
      const known = deadlines.get(key)
      if (origin === 'list' && known?.statedMs === warmUpMs) return false
      const knownUntil = known?.until ?? -Infinity
      const until = warmUpMs > 0 ? clock.now() + warmUpMs : -Infinity
      const isLater = until > knownUntil + TOLERANCE_MS
      // Never shortened: a stale copy of an entry may arrive after a newer one.
      deadlines.set(key, { statedMs: warmUpMs, until: isLater ? until : knownUntil })
      return isLater
    },
    remainingMs: (instance) => Math.max(0, (deadlines.get(formatInstanceKey(instance))?.until ?? -Infinity) - clock.now()),
    forget: (instance) => { deadlines.delete(formatInstanceKey(instance)) }
  }
}
