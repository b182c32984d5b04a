/**
 * Notices that the process stood still. What came meanwhile waits in the
 * kernel: a caller's request is then read before the close that came after it.
 */
import type { Clock, Timer } from '../../../types/index.js'

export type PauseWatch = {
  /** Calls back at once, or after a pause once the closes that came in it have been read. */
  readonly whenSettled: (act: () => void) => void
  readonly stop: () => void
}

const PULSE_MS = 250
/** A busy loop is this late at times; callers that leave in so short a pause are few. */
const LEAST_PAUSE_MS = 500
/** For so long after a pause a small VM still reads what came in it. */
const CATCH_UP_MS = 1_000

/** One turn of the loop reads the request, the next one the close behind it; by time alone a slow VM would not get so far. */
const afterNextTurn = (act: () => void): void => { setImmediate(() => setImmediate(act)) }

/** Creates the watch, which runs until it is stopped. */
export const createPauseWatch = (clock: Pick<Clock, 'now' | 'wallTime' | 'setTimer'>, wait: (act: () => void) => void = afterNextTurn): PauseWatch => {
  let pulseAt = clock.now()
  let pulseWallTime = clock.wallTime()
  let wokeAt = -Infinity
  let timer: Timer

  // The loop reads sockets before it runs timers, so that each request asks as well.
  const notePause = (): void => {
    const now = clock.now()
    // The monotonic time of a VM that was suspended stands still.
    const gapMs = Math.max(now - pulseAt, clock.wallTime() - pulseWallTime)
    if (gapMs > PULSE_MS + LEAST_PAUSE_MS) wokeAt = now
  }

  const pulse = (): void => {
    notePause()
    pulseAt = clock.now()
    pulseWallTime = clock.wallTime()
    timer = clock.setTimer(PULSE_MS, pulse)
  }

  timer = clock.setTimer(PULSE_MS, pulse)

  return {
    whenSettled: (act) => {
      notePause()
      if (clock.now() - wokeAt > CATCH_UP_MS) return act()
      wait(act)
    },
    stop: () => timer.cancel()
  }
}
