/**
 * Decides when a retryable request is moved from a backend server that does not
 * respond to another one: soon when the server responds to no request, later when
 * only this request gets no response.
 */

export type Silence = {
  /** Whether a part of the answer has arrived. */
  readonly hasBegun: boolean
  /** Milliseconds since the last bytes of this answer, or since it was sent. */
  readonly waitedMs: number
  /** Milliseconds since the last bytes of any answer from the server. */
  readonly instanceSilentMs: number
  readonly goalMs: number
  readonly pauseGoalMs: number
  /** Usual time to first byte on this route in milliseconds; `undefined` until it is known. */
  readonly usualMs: number | undefined
}

/** A lost packet is retransmitted after 200 to 300 ms, so a server that does not respond for less may be healthy. */
const SHORTEST_SILENCE_MS = 400
/** Multiple of the usual time to first byte after which a request leaves a server that responds to no request. */
const USUAL_TIMES = 3
/** Multiple of the target time to first byte after which a request moves although its server responds to others. */
const GOAL_TIMES_ALONE = 1.5
/** Multiple of the target pause between bytes after which a stream moves; callers abandon a stream after eight. */
const PAUSE_TIMES_ALONE = 5

/**
 * Decides whether to move a request to another server.
 *
 * @param silence - How long the request and its server have been without a response, and the targets.
 * @returns Whether the request should move.
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
