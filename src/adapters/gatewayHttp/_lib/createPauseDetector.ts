/**
 * Detects that the process was paused. Data that arrived during the pause is
 * still in the kernel's buffers: a request is read before the close that followed
 * it, and would be forwarded for a caller that has already disconnected.
 */
import { afterTurn } from '../../afterTurn/index.js'
import type { Clock, Timer } from '../../../types/index.js'

export type PauseDetector = {
  /** Calls `act` at once or, shortly after a pause, once the closes that arrived during the pause have been read. */
  readonly runWhenCaughtUp: (act: () => void) => void
  readonly stop: () => void
}

const CHECK_INTERVAL_MS = 250
/** A busy event loop is late by this much at times; few callers disconnect during so short a pause. */
const MINIMUM_PAUSE_MS = 500
/** For this long after a pause, a small VM still reads data that arrived during the pause. */
const CATCH_UP_MS = 1_000

/** Creates the detector, which runs until it is stopped. With a fixed delay in place of `wait`, a slow VM might not have read the close. */
export const createPauseDetector = (clock: Pick<Clock, 'now' | 'wallTime' | 'setTimer'>, wait: (act: () => void) => void = afterTurn): PauseDetector => {
  let checkedAt = clock.now()
  let checkedWallTime = clock.wallTime()
  let pauseEndedAt = -Infinity
  let timer: Timer

  // The event loop reads sockets before it runs timers, so each request checks for a pause as well.
  const detectPause = (): void => {
    const now = clock.now()
    // The monotonic clock stands still while a VM is suspended, so the wall time counts as well.
    const gapMs = Math.max(now - checkedAt, clock.wallTime() - checkedWallTime)
    if (gapMs > CHECK_INTERVAL_MS + MINIMUM_PAUSE_MS) pauseEndedAt = now
  }

  const checkPeriodically = (): void => {
    detectPause()
    checkedAt = clock.now()
    checkedWallTime = clock.wallTime()
    timer = clock.setTimer(CHECK_INTERVAL_MS, checkPeriodically)
  }

  timer = clock.setTimer(CHECK_INTERVAL_MS, checkPeriodically)

  return {
    runWhenCaughtUp: (act) => {
      detectPause()
      if (clock.now() - pauseEndedAt > CATCH_UP_MS) return act()
      wait(act)
    },
    stop: () => timer.cancel()
  }
}
