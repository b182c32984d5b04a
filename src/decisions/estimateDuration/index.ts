/** Estimates how long a request takes, for a node that is shutting down. */
import type { GatewayRoute } from '../../types/index.js'

export type DurationQuestion = {
  readonly route: Pick<GatewayRoute, 'retryPolicy' | 'timeoutMs' | 'latencyTargetMs'>
  /** Maximum number of tokens of the answer. */
  readonly outputTokens: number
  /** Time between two tokens in milliseconds, as recently observed. */
  readonly tokenMs: number
}

/** Default until a stream has been observed: the time between two tokens of a heavily loaded model engine, with a margin. */
export const USUAL_TOKEN_MS = 10

/** Safety factor: a model engine under rising load generates tokens about half as fast, and its slow streams have not ended yet. */
const PACE_ROOM = 1.9

/**
 * Estimates how long a request takes, erring on the long side.
 *
 * @param question - The route, and the size and speed of a stream.
 * @returns The time to the end of the answer in milliseconds.
 *
 * @example
 * estimateDuration({ route: { retryPolicy: 'safe', timeoutMs: 800, latencyTargetMs: 300 }, outputTokens: 0, tokenMs: 10 }) // => 800
 */
export const estimateDuration = ({ route, outputTokens, tokenMs }: DurationQuestion): number => {
  if (route.retryPolicy !== 'stream') return route.timeoutMs
  return Math.min(route.timeoutMs, route.latencyTargetMs + PACE_ROOM * outputTokens * tokenMs)
}
