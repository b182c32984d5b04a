/** Tracks the recent time in which the engines of each service read a prompt token, from sends whose answers have begun. */

export type ReadingPace = {
  /** Records that so many tokens were read in so many milliseconds. */
  readonly record: (service: string, tokens: number, milliseconds: number) => void
  /** Milliseconds per token; `undefined` before the first record. */
  readonly read: (service: string) => number | undefined
  readonly readAll: () => ReadonlyMap<string, number>
}

/** For fewer tokens, the way to the engine and back takes longer than the reading. */
const MINIMUM_TOKENS = 2_000
const WEIGHT = 0.1

/** Creates an empty record. */
export const createReadingPace = (): ReadingPace => {
  const paces = new Map<string, number>()
  return {
    record: (service, tokens, milliseconds) => {
      if (tokens < MINIMUM_TOKENS || milliseconds <= 0) return
      const observed = milliseconds / tokens
      const pace = paces.get(service) ?? observed
      paces.set(service, pace + WEIGHT * (observed - pace))
    },
    read: (service) => paces.get(service),
    readAll: () => paces
  }
}
