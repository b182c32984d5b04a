/**
 * Decides whether failed calls prove that a source was unavailable. Load pattern: connections go silent while
 * new ones work, or one new connection fails, although the source answers everybody else.
 */

/** A call that failed on a new connection, so that the connection is not at fault; times are of one clock, in milliseconds. */
export type FailedCall = { readonly sentAt: number, readonly failedAt: number }

/**
 * Tells whether the calls prove an outage: one of them was sent after another had failed. A single failure,
 * or several at one moment, may be the path's or this node's.
 *
 * @param calls - Calls that failed on new connections, with no answer of the source between them.
 * @returns Whether the source was unavailable.
 *
 * @example
 * provesOutage([{ sentAt: 0, failedAt: 700 }, { sentAt: 950, failedAt: 1650 }]) // => true
 */
export const provesOutage = (calls: readonly FailedCall[]): boolean => {
  const firstFailedAt = Math.min(...calls.map(({ failedAt }) => failedAt))
  return calls.some(({ sentAt }) => sentAt >= firstFailedAt)
}
