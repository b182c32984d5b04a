/** A delay that can be ended early, for a loop that backs off until there is an update. */
import type { Clock } from '../../../types/index.js'

export type Sleeper = {
  /** Resolves after `delayMs`, or earlier on `wake` or `stop`. */
  readonly sleep: (delayMs: number) => Promise<void>
  readonly wake: () => void
  readonly stop: () => void
}

export const createSleeper = (clock: Clock): Sleeper => {
  let wakeUp: (() => void) | undefined
  let stopped = false

  const wake = (): void => wakeUp?.()

  return {
    sleep: (delayMs) => new Promise((resolve) => {
      if (stopped) return resolve()
      const timer = clock.setTimer(delayMs, () => wakeUp?.())
      wakeUp = () => {
        wakeUp = undefined
        timer.cancel()
        resolve()
      }
    }),
    wake,
    stop: () => {
      stopped = true
      wake()
    }
  }
}
