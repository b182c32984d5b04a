/**
 * Waits until what a node knows of its callers is recent. In the check phase of a turn of the event
 * loop all is handled that had arrived when the turn began; after a long turn that was long ago, so that
 * the next one is awaited, which is shorter after a pause.
 */
import type { Clock } from '../../../types/index.js'

/** What this node's sockets had received by `readSince`, in monotonic milliseconds, is handled in the check phase of the turn. */
export type ReadState = { readSince: number }

/** Longest turn of the event loop after which a request goes out on a new connection, in milliseconds. */
const MAXIMUM_TURN_MS = 250
/** A node whose turns are all longer sends after this many of them. */
const MAXIMUM_TURNS = 3

/** Calls `act` in the check phase of the turn that runs, or of a later one; what it throws is given to `onThrown`. */
export const awaitShortTurn = (clock: Pick<Clock, 'now'>, state: ReadState, act: () => void, onThrown: (error: unknown) => void): void => {
  const check = (turns: number): void => {
    if (clock.now() - state.readSince > MAXIMUM_TURN_MS && turns < MAXIMUM_TURNS) {
      state.readSince = clock.now()
      setImmediate(check, turns + 1)
      return
    }
    try {
      act()
    } catch (error) {
      onThrown(error)
    }
  }
  setImmediate(check, 1)
}
