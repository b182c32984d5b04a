/** How fast a service finishes this node's work, to tell how long a queue will take. */
import { decayUsage } from '../../../decisions/decayUsage/index.js'
import type { Clock } from '../../../types/index.js'

export type DrainRate = {
  /** Notes work that was finished, in tokens. */
  readonly record: (tokens: number) => void
  /** Milliseconds that so many tokens will take; 0 while nothing is known. */
  readonly estimateMs: (tokens: number) => number
}

/**
 * Creates an estimate from exponentially decayed finished work.
 *
 * @param clock - Monotonic time.
 * @param halfLifeMs - Half-life of past work, in milliseconds.
 * @returns The estimate.
 */
export const createDrainRate = (clock: Clock, halfLifeMs: number): DrainRate => {
  const startedAt = clock.now()
  let decayed = 0
  let at = startedAt

  const decayNow = (): number => decayUsage(decayed, clock.now() - at, halfLifeMs)

  /** The decayed length of the time that was watched, so that the rate is right from the start. */
  const watchedMs = (): number => {
    const full = halfLifeMs / Math.LN2
    return full * (1 - 2 ** (-(clock.now() - startedAt) / halfLifeMs))
  }

  return {
    record: (tokens) => {
      decayed = decayNow() + tokens
      at = clock.now()
    },
    estimateMs: (tokens) => {
      const rate = watchedMs() > 0 ? decayNow() / watchedMs() : 0
      return rate > 0 ? tokens / rate : 0
    }
  }
}
