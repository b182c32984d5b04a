/**
 * A clock that stands still until its owner moves it, for tests and for
 * harnesses that drive many nodes in one process.
 */
import type { Clock } from '../../types/index.js'

export type ManualClock = Clock & {
  /**
   * Moves on by whole milliseconds, running the timers that fall due in order
   * and letting promises settle after each.
   */
  readonly advance: (ms: number) => Promise<void>
}

type Entry = { readonly callback: () => void, isCancelled: boolean }

const DEFAULT_WALL_TIME = 1_700_000_000_000
/** Promise chains longer than this go on after the next timer. */
const PROMISE_ROUNDS = 8

const settlePromises = async (): Promise<void> => {
  for (let round = 0; round < PROMISE_ROUNDS; round++) await Promise.resolve()
}

/**
 * Creates a manual clock.
 *
 * @param wallTime - Wall-clock time at the start, in milliseconds since 1970.
 * @returns The clock; its monotonic time starts at 0.
 *
 * @example
 * const clock = createManualClock()
 * clock.setTimer(5, () => console.log('due'))
 * await clock.advance(5) // prints 'due'
 */
export const createManualClock = (wallTime = DEFAULT_WALL_TIME): ManualClock => {
  let time = 0
  // Timers by the whole millisecond at which they fall due.
  const buckets = new Map<number, Entry[]>()

  const runBucket = async (): Promise<void> => {
    const bucket = buckets.get(time)
    if (bucket === undefined) return
    // A callback may add a timer without delay; the loop then sees it as well.
    for (const entry of bucket) {
      if (entry.isCancelled) continue
      entry.callback()
      await settlePromises()
    }
    buckets.delete(time)
  }

  return {
    now: () => time,
    wallTime: () => wallTime + time,
    setTimer: (delayMs, callback) => {
      const at = time + Math.max(0, Math.ceil(delayMs))
      const entry: Entry = { callback, isCancelled: false }
      const bucket = buckets.get(at)
      if (bucket === undefined) buckets.set(at, [entry])
      else bucket.push(entry)
      return { cancel: () => { entry.isCancelled = true } }
    },
    advance: async (ms) => {
      const until = time + ms
      await runBucket()
      while (time < until) {
        time += 1
        await runBucket()
      }
    }
  }
}
