/** What a stand-in ran, for tests to compare with what callers were told. */
import type { Clock } from '../../types/index.js'

export type JournalOutcome = 'queued' | 'running' | 'complete' | 'cancelled'

export type JournalEntry = {
  readonly requestId: string
  readonly idempotencyKey?: string | undefined
  readonly clientAccount: string
  readonly path: string
  /** Wall-clock milliseconds since 1970 at which the stand-in took the request on. */
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
 * Creates an empty journal. A request refused as not run never enters it.
 *
 * @param clock - Dates the entries.
 * @param limit - Entries kept; the oldest go first.
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
