/**
 * Circuit breaker for the platform: after a failure claims are refused at once instead of
 * each waiting for a time-out. After each pause one claim is let through to find out
 * whether the platform is reachable again.
 */
import type { Clock } from '../../../types/index.js'

export type PlatformGate = {
  /** Whether an attempt may be made now; returning true counts as the attempt. */
  readonly tryEnter: () => boolean
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
    tryEnter: () => {
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
