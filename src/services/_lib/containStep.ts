/**
 * Keeps what throws in one step of a chain of timers from ending the chain: `onThrown`
 * logs and counts it, and the next step runs at its time.
 */

/** Called with what a step threw. */
export type ThrownReport = (error?: unknown) => void

/** Runs one step. */
export const containStep = (step: () => void, onThrown: ThrownReport | undefined): void => {
  try {
    step()
  } catch (error) {
    onThrown?.(error)
  }
}
