/** Estimates how long a request takes, for a node that is shutting down. */
import type { GatewayRoute } from '../../types/index.js'

export type DurationInput = {
  readonly route: Pick<GatewayRoute, 'retryPolicy' | 'timeoutMs' | 'latencyTargetMs'>
  /** Maximum number of tokens of the answer. */
  readonly outputTokens: number
  /** Time between two tokens in milliseconds, as recently observed. */
  readonly tokenIntervalMs: number
}

/** Default until a stream has been observed: the time between two tokens of a heavily loaded model engine, with a margin. */
export const DEFAULT_TOKEN_INTERVAL_MS = 10

/** Safety factor: a model engine under rising load generates tokens about half as fast, and its slow streams have not ended yet, so they are missing from the observed times. */
const DURATION_SAFETY_FACTOR = 1.9

/**
 * Estimates how long a request takes, erring on the long side.
 *
 * @param input - The route, and the size and speed of a stream.
 * @returns The time to the end of the answer in milliseconds.
 *
 * @example
 * estimateDuration({ route: { retryPolicy: 'safe', timeoutMs: 800, latencyTargetMs: 300 }, outputTokens: 0, tokenIntervalMs: 10 }) // => 800
 */
export const estimateDuration = ({ route, outputTokens, tokenIntervalMs }: DurationInput): number => {
  if (route.retryPolicy !== 'stream') return route.timeoutMs
  return Math.min(route.timeoutMs, route.latencyTargetMs + DURATION_SAFETY_FACTOR * outputTokens * tokenIntervalMs)
}
