/** Classifies the status of an answer. A server in trouble may send any three digits, which parsers pass on. */

export type StatusClass = 'informational' | 'final' | 'invalid'

const FIRST_STATUS = 100
const FIRST_FINAL_STATUS = 200
const LAST_STATUS = 599

/**
 * Classifies a status.
 *
 * @param status - Number in the status line.
 * @returns Whether another head follows, the answer has this status, or the head is none of HTTP.
 *
 * @example
 * classifyStatus(103) // => 'informational'
 * classifyStatus(600) // => 'invalid'
 */
export const classifyStatus = (status: number): StatusClass => {
  if (status < FIRST_STATUS || status > LAST_STATUS) return 'invalid'
  return status < FIRST_FINAL_STATUS ? 'informational' : 'final'
}
