import type { Clock } from '../../types/index.js'

/**
 * Gives the clock of the machine.
 *
 * @returns A clock on the process's monotonic and wall time.
 *
 * @example
 * createSystemClock().setTimer(1_000, () => console.log('a second later'))
 */
export const createSystemClock = (): Clock => ({
  now: () => performance.now(),
  wallTime: () => Date.now(),
  setTimer: (delayMs, callback) => {
    const handle = setTimeout(callback, delayMs)
    return { cancel: () => clearTimeout(handle) }
  }
})
