/** Journal of the requests that an emulated server ran, which tests compare with the answers that callers got. */
import type { Clock } from '../../types/index.js'

export type JournalOutcome = 'queued' | 'running' | 'complete' | 'cancelled'

export type JournalEntry = {
  readonly requestId: string
  readonly idempotencyKey?: string | undefined
  readonly clientAccount: string
  readonly path: string
  /** Wall-clock time at which the emulated server accepted the request, in milliseconds since 1970. */
  readonly startedAt: number
  readonly outcome: JournalOutcome
}

export type JournalRecord = { readonly setOutcome: (outcome: JournalOutcome) => void }

export type Journal = {
  readonly add: (entry: Omit<JournalEntry, 'startedAt'>) => JournalRecord
  readonly entries: () => readonly JournalEntry[]
}

const DEFAULT_LIMIT = 200_000

/**
 * Creates an empty journal. Requests that were refused as not run are not recorded.
 *
 * @param clock - Timestamps the entries.
 * @param limit - Maximum number of entries; the oldest are removed first.
 * @returns The journal.
 *
 * @example
 * createJournal(clock).entries() // => []
 */
export const createJournal = (clock: Clock, limit: number = DEFAULT_LIMIT): Journal => {
  const entries = new Map<number, JournalEntry>()
  let next = 0
  return {
    add: (entry) => {
      const index = next++
      entries.set(index, { ...entry, startedAt: clock.wallTime() })
      entries.delete(index - limit)
      return {
        setOutcome: (outcome) => {
          const known = entries.get(index)
          if (known !== undefined) entries.set(index, { ...known, outcome })
        }
      }
    },
    entries: () => [...entries.values()]
  }
}
