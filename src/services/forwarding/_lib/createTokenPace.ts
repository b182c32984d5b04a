/** How fast the streams of each service lately went, for a node that has to know how long a stream will last. */

export type TokenPace = {
  /** Notes a stream that ended well: its most tokens, and the time from its first bytes to its end. */
  readonly note: (service: string, tokens: number, milliseconds: number) => void
  /** Milliseconds a token, rather too many than too few; `undefined` before a stream was seen. */
  readonly read: (service: string) => number | undefined
}

/** Shorter streams say more of single pauses than of the pace. */
const LEAST_TOKENS = 60
/** Weight of a stream that was faster than the pace: a slow one counts at once, and for some fifty after it. */
const FASTER_WEIGHT = 0.02

/** Creates the record, empty. */
export const createTokenPace = (): TokenPace => {
  const paces = new Map<string, number>()
  return {
    note: (service, tokens, milliseconds) => {
      if (tokens < LEAST_TOKENS) return
      const seen = milliseconds / tokens
      const pace = paces.get(service) ?? seen
      paces.set(service, Math.max(seen, pace + FASTER_WEIGHT * (seen - pace)))
    },
    read: (service) => paces.get(service)
  }
}
