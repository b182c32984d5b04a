/**
 * Until when backend servers that have just started warm up. The source tells
 * how much longer that was when an entry was written; the node counts from when
 * it heard of it.
 */
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import type { BackendInstance, Clock } from '../../../types/index.js'

/** Where word of an entry came from: a change as it was made, a list that may repeat an old entry, or a peer. */
export type EntryOrigin = 'change' | 'list' | 'peer'

export type WarmUps = {
  /** Notes what an entry says; returns whether its warm-up ends later than was known. */
  readonly note: (instance: BackendInstance, origin: EntryOrigin) => boolean
  readonly leftMs: (instance: Pick<BackendInstance, 'id' | 'incarnation'>) => number
  readonly forget: (instance: BackendInstance) => void
}

type WarmUp = { readonly toldMs: number, readonly until: number }

/** A peer's word arrives some milliseconds late; a warm-up that ends so little later is the same one. */
const TOLERANCE_MS = 250

export const createWarmUps = (clock: Pick<Clock, 'now'>): WarmUps => {
  const warmUps = new Map<string, WarmUp>()
  return {
    note: (instance, origin) => {
      const { warmUpMs } = instance
      const key = formatInstanceKey(instance)
      const known = warmUps.get(key)
      if (origin === 'list' && known?.toldMs === warmUpMs) return false
      const knownUntil = known?.until ?? -Infinity
      const until = warmUpMs > 0 ? clock.now() + warmUpMs : -Infinity
      const isLater = until > knownUntil + TOLERANCE_MS
      // Never shortened: an older copy of an entry may come after a newer one.
      warmUps.set(key, { toldMs: warmUpMs, until: isLater ? until : knownUntil })
      return isLater
    },
    leftMs: (instance) => Math.max(0, (warmUps.get(formatInstanceKey(instance))?.until ?? -Infinity) - clock.now()),
    forget: (instance) => { warmUps.delete(formatInstanceKey(instance)) }
  }
}
