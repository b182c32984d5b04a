/**
 * Remembers that the platform failed, so that claims are refused at once in an
 * outage and do not each wait for a time-out of their own. One claim after
 * each pause goes through to see whether the platform is back.
 */
import type { Clock } from '../../../types/index.js'

export type PlatformGate = {
  /** Whether an attempt may be made now; giving true counts as the attempt. */
  readonly enter: () => boolean
  readonly record: (isUp: boolean) => void
}

/**
 * Creates a gate that is open until the first failure.
 *
 * @param clock - Monotonic time.
 * @param pauseMs - Milliseconds between two attempts while the platform fails.
 * @returns The gate.
 */
export const createPlatformGate = (clock: Clock, pauseMs: number): PlatformGate => {
  let isUp = true
  let nextAttemptAt = 0
  return {
    enter: () => {
      if (isUp) return true
      if (clock.now() < nextAttemptAt) return false
      nextAttemptAt = clock.now() + pauseMs
      return true
    },
    record: (isUpNow) => {
      isUp = isUpNow
      nextAttemptAt = clock.now() + pauseMs
    }
  }
}
