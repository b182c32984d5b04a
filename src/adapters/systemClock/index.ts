/** The machine's own time, as the clock that daemons hand to every service. */
import { performance } from 'node:perf_hooks'
import type { Clock } from '../../types/index.js'

/**
 * Creates the clock of a real process.
 *
 * `now` is monotonic, so that a step of the wall clock neither fires nor
 * delays a timeout.
 *
 * @returns A clock in milliseconds.
 *
 * @example
 * const clock = createSystemClock()
 * clock.setTimer(10, () => console.log('ten milliseconds later'))
 */
export const createSystemClock = (): Clock => ({
  now: () => performance.now(),
  wallTime: () => Date.now(),
  setTimer: (delayMs, callback) => {
    const timeout = setTimeout(callback, Math.max(0, delayMs))
    return { cancel: () => clearTimeout(timeout) }
  }
})
