/** Computes how long a watch of a source may wait, so that a silent connection is noticed in time. */

/** Time for what follows a watch without a reply: the end of its time-out, a read that fails and one that succeeds, and their relay to peers. */
const RECOVERY_MS = 1_500
/** Longer watches save few calls. */
const MAXIMUM_WAIT_MS = 2_500
/** Shorter watches would multiply the calls. */
const MINIMUM_WAIT_MS = 500

/**
 * Computes the time that a watch waits for changes.
 *
 * A waiting watch proves nothing: its connection may be silent, and changes are lost meanwhile.
 *
 * @param reconnectMs - Time within which changes must be followed again after a connection has gone silent, in milliseconds.
 * @returns The wait in milliseconds.
 *
 * @example
 * computeWatchWait(3000) // => 1500
 */
export const computeWatchWait = (reconnectMs: number): number =>
  Math.min(MAXIMUM_WAIT_MS, Math.max(MINIMUM_WAIT_MS, reconnectMs - RECOVERY_MS))
