/**
 * Selects the status of a final answer by what is proved about its request. Some statuses promise
 * the caller that the request did not run and never will; a caller repeats a request on that
 * promise alone, even one that may run only once, so only proof allows them.
 */

/** Statuses that promise a caller that its request did not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** Status of an answer that promises nothing about its request. */
const UNKNOWN_OUTCOME_STATUS = 502

export type FinalStatusOptions = {
  /** Status when a promise is not allowed; 502 by default. */
  readonly statusIfUnknown?: 502 | 504
}

/**
 * Returns whether a status promises the caller that its request did not run and never will.
 *
 * @param status - Status of an HTTP answer.
 *
 * @example
 * promisesNotRun(503) // => true
 */
export const promisesNotRun = (status: number): boolean => NOT_RUN_STATUSES.has(status)

/**
 * Selects the status with which a final answer may leave a node.
 *
 * @param status - Status that the answer would have.
 * @param mayHaveRun - Whether the request may have run: it was sent, and its receiver has not proved that it did not run it.
 * @param options - Status when a promise is not allowed.
 * @returns The given status, unless it is a promise that nothing proves.
 *
 * @example
 * selectFinalStatus(503, true) // => 502
 * selectFinalStatus(503, false) // => 503
 */
export const selectFinalStatus = (status: number, mayHaveRun: boolean, { statusIfUnknown = UNKNOWN_OUTCOME_STATUS }: FinalStatusOptions = {}): number =>
  mayHaveRun && promisesNotRun(status) ? statusIfUnknown : status
