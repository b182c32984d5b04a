import type { Clock } from '../../types/index.js'

const MILLISECONDS_PER_SECOND = 1_000
const NANOSECONDS_PER_MILLISECOND = 1_000_000
/** Node.js runs a timer with a longer delay at once. */
const MAXIMUM_DELAY_MS = 2 ** 31 - 1

/** Doesn't use the global `performance`, which loads a dozen internal modules of Node.js during the start. */
const readMonotonicMs = (): number => {
  const [seconds, nanoseconds] = process.hrtime()
  return seconds * MILLISECONDS_PER_SECOND + nanoseconds / NANOSECONDS_PER_MILLISECOND
}

export type SystemClockOptions = {
  /** Whether a pending timer keeps the process from ending; true by default. */
  readonly keepsProcessAlive?: boolean
}

/**
 * Creates the clock of the machine.
 *
 * @param options - Whether its timers keep the process alive.
 * @returns A clock on the process's monotonic and wall time.
 *
 * @example
 * createSystemClock().setTimer(1_000, () => console.log('a second later'))
 */
export const createSystemClock = ({ keepsProcessAlive = true }: SystemClockOptions = {}): Clock => ({
  now: readMonotonicMs,
  wallTime: () => Date.now(),
  setTimer: (delayMs, callback) => {
    const handle = setTimeout(callback, Math.min(delayMs, MAXIMUM_DELAY_MS))
    if (!keepsProcessAlive) handle.unref()
    return { cancel: () => clearTimeout(handle) }
  }
})
