/** How long a request will take, for a node that is about to stop. */
import type { GatewayRoute } from '../../types/index.js'

export type DurationQuestion = {
  readonly route: Pick<GatewayRoute, 'repeatPolicy' | 'timeoutMs' | 'goalMs'>
  /** Most tokens that the answer may have. */
  readonly outputTokens: number
  /** Milliseconds between two tokens, as lately seen. */
  readonly tokenMs: number
}

/** Before any stream was seen: the step of a well-filled engine, with room. */
export const USUAL_TOKEN_MS = 10

/** An engine that fills up makes tokens about half as fast, and the slow streams have not ended yet. */
const PACE_ROOM = 1.9

/**
 * Estimates how long a request will take, rather too long than too short.
 *
 * @param question - The route, and the size of a stream.
 * @returns Milliseconds to the end of the answer.
 *
 * @example
 * estimateDuration({ route: { repeatPolicy: 'safe', timeoutMs: 800, goalMs: 300 }, outputTokens: 0, tokenMs: 10 }) // => 800
 */
export const estimateDuration = ({ route, outputTokens, tokenMs }: DurationQuestion): number => {
  if (route.repeatPolicy !== 'stream') return route.timeoutMs
  return Math.min(route.timeoutMs, route.goalMs + PACE_ROOM * outputTokens * tokenMs)
}
