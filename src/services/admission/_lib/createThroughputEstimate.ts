/** Estimates the rate at which a service completes this node's requests, to predict queueing delays. */
import { decayUsage } from '../../../decisions/decayUsage/index.js'
import type { Clock } from '../../../types/index.js'

export type ThroughputEstimate = {
  /** Records completed work in tokens. */
  readonly record: (tokens: number) => void
  /** Records how long a request ran, from its admission to its end, and its work. */
  readonly recordRun: (durationMs: number, tokens: number) => void
  /** Completed tokens per millisecond; 0 while there are no data. */
  readonly tokensPerMs: () => number
  readonly meanRun: () => { readonly durationMs: number, readonly tokens: number }
  /** Estimated milliseconds to complete this many tokens; 0 while there are no data. */
  readonly estimateMs: (tokens: number) => number
}

/** Weight of the newest run: the means span about ten requests, so that they follow a burst of longer ones. */
const RUN_WEIGHT = 0.1

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
  let run = { durationMs: 0, tokens: 0 }

  const decayNow = (): number => decayUsage(decayed, clock.now() - at, halfLifeMs)

  /** Decayed length of the observed time, so that the rate is unbiased from the start. */
  const observedMs = (): number => {
    const full = halfLifeMs / Math.LN2
    return full * (1 - 2 ** (-(clock.now() - startedAt) / halfLifeMs))
  }

  const tokensPerMs = (): number => observedMs() > 0 ? decayNow() / observedMs() : 0

  return {
    recordRun: (durationMs, tokens) => {
      const weight = run.durationMs === 0 ? 1 : RUN_WEIGHT
      run = { durationMs: run.durationMs + weight * (durationMs - run.durationMs), tokens: run.tokens + weight * (tokens - run.tokens) }
    },
    tokensPerMs,
    meanRun: () => run,
    record: (tokens) => {
      decayed = decayNow() + tokens
      at = clock.now()
    },
    estimateMs: (tokens) => {
      const rate = tokensPerMs()
      return rate > 0 ? tokens / rate : 0
    }
  }
}
