/**
 * Gives the last read to those for whom one of the last moments will do, also one that is
 * under way: a write under the condition that nothing has changed since finds out what it lacks.
 */
import type { Clock, Result, SourceError } from '../../types/index.js'

export type RecentRead<Value> = {
  /** The result of the last read if it began a moment ago and succeeds, else that of a new one. */
  readonly read: () => Promise<Result<Value, SourceError>>
  /** What was read before is no longer so. */
  readonly forget: () => void
}

/** Short against the times after which entries of registers are removed, in milliseconds. */
const RECENT_MS = 2_000

/**
 * Wraps the start of reads, so that the last one can be used again.
 *
 * @param clock - Monotonic time.
 * @param start - Starts a read; it must not reject.
 * @returns The function that always starts one, and the recent read.
 */
export const createRecentRead = <Value>(clock: Pick<Clock, 'now'>, start: () => Promise<Result<Value, SourceError>>): { readonly startRead: typeof start, readonly recent: RecentRead<Value> } => {
  let last: { readonly at: number, readonly reading: Promise<Result<Value, SourceError>> } | undefined

  const startRead: typeof start = () => {
    const reading = start()
    last = { at: clock.now(), reading }
    return reading
  }

  return {
    startRead,
    recent: {
      read: async () => {
        const reading = last !== undefined && clock.now() - last.at < RECENT_MS ? await last.reading : undefined
        return reading?.ok === true ? reading : await startRead()
      },
      forget: () => { last = undefined }
    }
  }
}
