/**
 * Runs code after a turn of the event loop that began later than the call. The event loop
 * runs timers before it reads sockets: after a pause of the process, a timer still sees the
 * state from before the pause, and what arrived meanwhile lies in the kernel's buffers.
 */

/**
 * Calls `act` once all that had arrived before the call has been read and handled.
 *
 * @param act - What to run.
 *
 * @example
 * afterTurn(() => closeIdleConnections())
 */
export const afterTurn = (act: () => void): void => {
  // The first one may run in the turn that is under way, which may have read some sockets already.
  setImmediate(() => setImmediate(act))
}
