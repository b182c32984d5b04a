/**
 * Watches how late this process reads its sockets. Bytes, and the ends of connections, wait in
 * the kernel while the event loop works through a long turn and while the process stands still;
 * none of its clocks starts for a request before that is read.
 */
import type { Clock } from '../../types/index.js'

export type ReadWatch = {
  /** Milliseconds for which bytes that are read now have lain unread at most; 0 on a calm node. */
  readonly delayMs: () => number
  readonly stop: () => void
}

/** Also the longest delay that may go unnoticed. */
const CHECK_INTERVAL_MS = 100
/** Timers of a calm process are late by this much at times. */
const MINIMUM_DELAY_MS = 5

/**
 * Starts the watch. A timer that is late shows how long the event loop has read nothing.
 * A suspended machine is not noticed: its monotonic clock stands still as well.
 *
 * @param clock - Monotonic clock and timers.
 * @param inCheckPhase - Calls back in the check phase of the turn of the event loop, after its sockets were read.
 * @returns The watch, running until it is stopped.
 *
 * @example
 * const unreadMs = createReadWatch(clock).delayMs()
 */
export const createReadWatch = (clock: Pick<Clock, 'now' | 'setTimer'>, inCheckPhase: (act: () => void) => void = setImmediate): ReadWatch => {
  /** Since when nothing was read, in the turn that runs; `undefined` in a turn that began in time. */
  let unreadSince: number | undefined
  let dueAt = clock.now() + CHECK_INTERVAL_MS

  const check = (): void => {
    if (clock.now() - dueAt >= MINIMUM_DELAY_MS) {
      unreadSince = dueAt
      inCheckPhase(() => { unreadSince = undefined })
    }
    dueAt = clock.now() + CHECK_INTERVAL_MS
    timer = clock.setTimer(CHECK_INTERVAL_MS, check)
  }

  let timer = clock.setTimer(CHECK_INTERVAL_MS, check)

  return {
    delayMs: () => {
      // After a pause in the middle of a turn sockets are read before timers run.
      const delayMs = clock.now() - (unreadSince ?? dueAt)
      return delayMs < MINIMUM_DELAY_MS ? 0 : delayMs
    },
    stop: () => timer.cancel()
  }
}
