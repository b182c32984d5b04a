/** The time that one request may take: the shorter of its caller's timeout and its route's, from its first byte. */
import type { Clock, GatewayRequest, GatewayRoute } from '../../../types/index.js'

export type RequestDeadline = {
  /** Monotonic milliseconds of the deadline; infinite until the route is known and the caller set no timeout. */
  readonly at: () => number
  readonly remainingMs: () => number
  /** The longest time that the request may still take, in milliseconds. A non-streaming request that no server received yet counts with its full timeout, the shorter of the two. */
  readonly computeMaximumMs: (route: GatewayRoute, mayHaveRun: boolean) => number
}

/** Creates the deadline of one request; `readRoute` returns its route once that is selected. */
export const createRequestDeadline = (clock: Pick<Clock, 'now'>, request: Pick<GatewayRequest, 'receivedAt' | 'callerTimeoutMs'>, readRoute: () => GatewayRoute | undefined): RequestDeadline => {
  const at = (): number => request.receivedAt + Math.min(request.callerTimeoutMs ?? Infinity, readRoute()?.timeoutMs ?? Infinity)
  const remainingMs = (): number => at() - clock.now()
  return {
    at,
    remainingMs,
    computeMaximumMs: (route, mayHaveRun) => mayHaveRun || route.retryPolicy === 'stream' ? remainingMs() : Math.min(request.callerTimeoutMs ?? Infinity, route.timeoutMs)
  }
}
