/**
 * Estimates how long a request waits for a backend server of a full service. Load
 * pattern: a burst, in which the pace of ends rises with the number of running requests
 * before the observed average shows it.
 */

export type WaitInput = {
  /** Work that is served before the request ends its wait, itself included. */
  readonly tokensAhead: number
  /** Work that ended in each millisecond lately, at this node. */
  readonly tokensPerMs: number
  /** Mean work of a request that ended lately. */
  readonly meanTokens: number
  /** Mean time from the start of a request to its end, in milliseconds; 0 while unknown. */
  readonly meanDurationMs: number
  /** Requests of this node that run, or its equal part of all slots where that is more. */
  readonly slots: number
}

/**
 * Estimates the wait by the higher of two paces: the observed one, which is too low after
 * a quiet time, and the one that the running requests will have by Little's law.
 *
 * @param input - Work ahead and the pace of ends.
 * @returns The expected wait in milliseconds; 0 while no request has ended.
 *
 * @example
 * estimateWait({ tokensAhead: 10, tokensPerMs: 0, meanTokens: 1, meanDurationMs: 20, slots: 4 }) // => 50
 */
export const estimateWait = ({ tokensAhead, tokensPerMs, meanTokens, meanDurationMs, slots }: WaitInput): number => {
  const expectedPace = meanDurationMs > 0 ? slots * meanTokens / meanDurationMs : 0
  const pace = Math.max(tokensPerMs, expectedPace)
  return pace > 0 ? tokensAhead / pace : 0
}
