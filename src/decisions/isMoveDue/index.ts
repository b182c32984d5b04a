/**
 * When a request that may be repeated is taken away from a silent backend
 * server: soon when the whole server is silent, late when only this request is.
 */

export type Silence = {
  /** Whether a part of the answer has come. */
  readonly hasBegun: boolean
  /** Milliseconds since the last bytes of this answer, or since it was sent. */
  readonly waitedMs: number
  /** Milliseconds since any bytes came from the server. */
  readonly instanceSilentMs: number
  readonly goalMs: number
  readonly pauseGoalMs: number
  /** Usual time to the first bytes on this route, once known. */
  readonly usualMs: number | undefined
}

/** A lost packet is repeated after 200 to 300 ms: a server silent for less may be well. */
const SHORTEST_SILENCE_MS = 400
/** Multiple of the usual time to the first bytes after which a silent server is given up on. */
const USUAL_TIMES = 3
/** Multiple of the goal after which a request is given up on that waits alone. */
const GOAL_TIMES_ALONE = 1.5
/** Multiple of the longest pause on time; callers leave a stream after eight. */
const PAUSE_TIMES_ALONE = 5

/**
 * Says whether to try another server.
 *
 * @param silence - Who has been silent for how long.
 * @returns Whether the silence is too long.
 *
 * @example
 * isMoveDue({ hasBegun: false, waitedMs: 100, instanceSilentMs: 100, goalMs: 300, pauseGoalMs: 0, usualMs: 60 }) // => false
 */
export const isMoveDue = (silence: Silence): boolean => {
  const { hasBegun, waitedMs, instanceSilentMs, goalMs, pauseGoalMs, usualMs } = silence
  if (hasBegun) {
    return waitedMs >= Math.max(PAUSE_TIMES_ALONE * pauseGoalMs, 2 * SHORTEST_SILENCE_MS) ||
      (waitedMs >= 2 * SHORTEST_SILENCE_MS && instanceSilentMs >= 2 * SHORTEST_SILENCE_MS)
  }
  if (waitedMs >= Math.max(SHORTEST_SILENCE_MS, GOAL_TIMES_ALONE * goalMs)) return true
  const patience = Math.max(SHORTEST_SILENCE_MS, USUAL_TIMES * (usualMs ?? goalMs))
  return waitedMs >= patience && instanceSilentMs >= patience
}
