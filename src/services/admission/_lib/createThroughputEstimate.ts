/** Estimates the rate at which a service completes this node's requests, to predict queueing delays. */
import { decayUsage } from '../../../decisions/decayUsage/index.js'
import type { Clock } from '../../../types/index.js'

export type ThroughputEstimate = {
  /** Records completed work in tokens. */
  readonly record: (tokens: number) => void
  /** Estimated milliseconds to complete this many tokens; 0 while there are no data. */
  readonly estimateMs: (tokens: number) => number
}

/**
 * Creates an estimator that uses exponentially decayed completed work.
 *
 * @param clock - Monotonic time.
 * @param halfLifeMs - Half-life of past work, in milliseconds.
 * @returns The estimator.
 */
export const createThroughputEstimate = (clock: Clock, halfLifeMs: number): ThroughputEstimate => {
  const startedAt = clock.now()
  let decayed = 0
  let at = startedAt

  const decayNow = (): number => decayUsage(decayed, clock.now() - at, halfLifeMs)

  /** Decayed length of the observed time, so that the rate is unbiased from the start. */
  const observedMs = (): number => {
    const full = halfLifeMs / Math.LN2
    return full * (1 - 2 ** (-(clock.now() - startedAt) / halfLifeMs))
  }

  return {
    record: (tokens) => {
      decayed = decayNow() + tokens
      at = clock.now()
    },
    estimateMs: (tokens) => {
      const rate = observedMs() > 0 ? decayNow() / observedMs() : 0
      return rate > 0 ? tokens / rate : 0
    }
  }
}
