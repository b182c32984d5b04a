/**
 * Decides when a retryable request is moved to another backend server because its
 * own does not respond: soon when that server responds to no request, later when
 * only this request gets no response. Load pattern: many long prompts at once, whose
 * engines are silent because they read.
 */

export type FailoverInput = {
  /** Whether a part of the answer has arrived. */
  readonly hasBegun: boolean
  /** Milliseconds since the last bytes of this answer, or since it was sent. */
  readonly waitedMs: number
  /** Milliseconds since the last bytes of any answer from the server. */
  readonly instanceWaitedMs: number
  /**
   * Whether the server is a model engine. While it reads a long prompt, it may answer nobody: a move would have the
   * prompt read a second time, and suspend a sound server together with every prompt that it caches.
   */
  readonly isModelEngine?: boolean
  readonly firstByteTargetMs: number
  readonly pauseTargetMs: number
  /** Usual time to first byte on this route in milliseconds; `undefined` until it is known. */
  readonly usualFirstByteMs: number | undefined
}

/** A lost packet is retransmitted after 200 to 300 ms, so a server that does not respond for less may be healthy. */
const MINIMUM_WAIT_MS = 400
/** Silence after which a stream that has begun moves from a server that responds to no request: a sound server may be silent for about a second. */
const MINIMUM_STREAM_SILENCE_MS = 1_300
/** Multiple of the usual time to first byte after which a request leaves a server that responds to no request. */
const USUAL_TIME_MULTIPLE = 3
/** Multiple of the target time to first byte after which a request moves although its server responds to others. */
const REQUEST_TARGET_MULTIPLE = 1.5
/** Multiple of the target pause between bytes after which a stream moves; callers abandon a stream after eight times the target. */
const STREAM_PAUSE_MULTIPLE = 5

/**
 * Decides whether to move a request to another server.
 *
 * @param input - How long the request and its server have been without a response, and the targets.
 * @returns Whether the request should move.
 *
 * @example
 * isFailoverDue({ hasBegun: false, waitedMs: 100, instanceWaitedMs: 100, firstByteTargetMs: 300, pauseTargetMs: 0, usualFirstByteMs: 60 }) // => false
 */
export const isFailoverDue = (input: FailoverInput): boolean => {
  const { hasBegun, waitedMs, instanceWaitedMs, isModelEngine, firstByteTargetMs, pauseTargetMs, usualFirstByteMs } = input
  if (hasBegun) {
    return waitedMs >= Math.max(STREAM_PAUSE_MULTIPLE * pauseTargetMs, MINIMUM_STREAM_SILENCE_MS) ||
      (waitedMs >= MINIMUM_STREAM_SILENCE_MS && instanceWaitedMs >= MINIMUM_STREAM_SILENCE_MS)
  }
  if (waitedMs >= Math.max(MINIMUM_WAIT_MS, REQUEST_TARGET_MULTIPLE * firstByteTargetMs)) return true
  const readingMs = isModelEngine === true ? firstByteTargetMs : 0
  const serverTimeoutMs = Math.max(MINIMUM_WAIT_MS, readingMs, USUAL_TIME_MULTIPLE * (usualFirstByteMs ?? firstByteTargetMs))
  return waitedMs >= serverTimeoutMs && instanceWaitedMs >= serverTimeoutMs
}
