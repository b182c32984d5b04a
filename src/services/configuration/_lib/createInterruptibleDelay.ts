/** A delay that can be ended early, for a loop that backs off until there is an update. */
import type { Clock } from '../../../types/index.js'

export type InterruptibleDelay = {
  /** Resolves after `delayMs`, or earlier on `interrupt` or `stop`. */
  readonly wait: (delayMs: number) => Promise<void>
  readonly interrupt: () => void
  readonly stop: () => void
}

export const createInterruptibleDelay = (clock: Clock): InterruptibleDelay => {
  let endWait: (() => void) | undefined
  let isStopped = false

  const interrupt = (): void => endWait?.()

  return {
    wait: (delayMs) => new Promise((resolve) => {
      if (isStopped) return resolve()
      const timer = clock.setTimer(delayMs, () => endWait?.())
      endWait = () => {
        endWait = undefined
        timer.cancel()
        resolve()
      }
    }),
    interrupt,
    stop: () => {
      isStopped = true
      interrupt()
    }
  }
}
