/** Describes the requests that are open at a node in one log line of bounded length. */
import type { LogFields, OpenRequest } from '../../../types/index.js'

/** Requests that one line names, the oldest first; the others are only counted. */
const MAXIMUM_NAMED_REQUESTS = 32

const describeRequest = ({ requestId, target, receivedAt, lastBytesAt }: OpenRequest, now: number): string => {
  const ageMs = Math.round(now - receivedAt)
  if (target === undefined || lastBytesAt === undefined) return `${requestId} age=${ageMs}`
  return `${requestId} age=${ageMs} at=${target} silent=${Math.round(now - lastBytesAt)}`
}

/**
 * Describes open requests.
 *
 * @param requests - The open requests, oldest first.
 * @param now - Monotonic milliseconds.
 * @returns Their number, and for the oldest ones id, age, target and the time without bytes from it, in milliseconds.
 *
 * @example
 * describeOpenRequests([], 0) // => { open: 0 }
 */
export const describeOpenRequests = (requests: readonly OpenRequest[], now: number): LogFields => {
  if (requests.length === 0) return { open: 0 }
  const named = requests.slice(0, MAXIMUM_NAMED_REQUESTS).map((request) => describeRequest(request, now))
  return { open: requests.length, requests: named.join(', ') }
}
