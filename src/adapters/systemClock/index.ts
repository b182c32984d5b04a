import type { Clock } from '../../types/index.js'

export type SystemClockOptions = {
  /** Whether a pending timer keeps the process from ending; true by default. */
  readonly keepsProcessAlive?: boolean
}

/**
 * Gives the clock of the machine.
 *
 * @param options - Whether its timers keep the process alive.
 * @returns A clock on the process's monotonic and wall time.
 *
 * @example
 * createSystemClock().setTimer(1_000, () => console.log('a second later'))
 */
export const createSystemClock = ({ keepsProcessAlive = true }: SystemClockOptions = {}): Clock => ({
  now: () => performance.now(),
  wallTime: () => Date.now(),
  setTimer: (delayMs, callback) => {
    const handle = setTimeout(callback, delayMs)
    if (!keepsProcessAlive) handle.unref()
    return { cancel: () => clearTimeout(handle) }
  }
})
