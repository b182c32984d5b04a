/** Tracks the recent time per token in each service's streams, to estimate how long a new stream will take. */

export type TokenPace = {
  /** Records a successful stream: its maximum number of tokens, and the milliseconds from its first bytes to its end. */
  readonly record: (service: string, tokens: number, milliseconds: number) => void
  /** Milliseconds per token, estimated on the high side; `undefined` before the first stream. */
  readonly read: (service: string) => number | undefined
}

/** Streams with fewer tokens are ignored: single pauses dominate their duration. */
const MINIMUM_TOKENS = 60
/** Weight of a stream that is faster than the average. A slower one replaces the average at once and affects it for about fifty streams. */
const FASTER_WEIGHT = 0.02

/** Creates an empty record. */
export const createTokenPace = (): TokenPace => {
  const paces = new Map<string, number>()
  return {
    record: (service, tokens, milliseconds) => {
      if (tokens < MINIMUM_TOKENS) return
      const tokenIntervalMs = milliseconds / tokens
      const pace = paces.get(service) ?? tokenIntervalMs
      paces.set(service, Math.max(tokenIntervalMs, pace + FASTER_WEIGHT * (tokenIntervalMs - pace)))
    },
    read: (service) => paces.get(service)
  }
}
