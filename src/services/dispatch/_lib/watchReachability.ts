/**
 * Detects a backend server that disappears without closing its connections,
 * for example a dead VM or a partitioned zone. Without this check the request
 * would wait for its deadline on a connection that still looks open. A missing
 * answer is not enough evidence, since a busy model engine is slow to answer
 * too. An attempt is abandoned only when probes fail as well, and only while
 * the request can still run on another server; otherwise its answer may still come.
 */
import type { BackendServer, Timer } from '../../../types/index.js'
import type { RetryPlanner } from './createRetryPlanner.js'
import { isIdempotent, type RequestContext } from './requestContext.js'

export type ReachabilityWatch = {
  /** Aborts with the request's scope, or when the backend server is unreachable. */
  readonly signal: AbortSignal
  readonly isUnreachable: () => boolean
  readonly stop: () => void
}

/** Consecutive failed checks, one interval apart, before an attempt is abandoned. */
const FAILED_CHECKS_UNTIL_UNREACHABLE = 2

export const isUnreachable = ({ dependencies }: RequestContext, backendServer: BackendServer): boolean =>
  dependencies.backendHealth.status(backendServer.name).state === 'unreachable'

export const watchReachability = (context: RequestContext, planner: Pick<RetryPlanner, 'canMoveFrom'>, backendServer: BackendServer): ReachabilityWatch => {
  const { dependencies, scope, reply, limits, reachabilityProbes } = context
  const unreachable = new AbortController()
  let failedChecks = 0
  let timer: Timer | undefined

  const check = (): void => {
    if (reply.hasStarted()) return
    const hasFailed = isUnreachable(context, backendServer) || reachabilityProbes.check(backendServer)
    failedChecks = hasFailed ? failedChecks + 1 : 0
    if (failedChecks >= FAILED_CHECKS_UNTIL_UNREACHABLE && planner.canMoveFrom(backendServer.name)) unreachable.abort(new Error('the backend server became unreachable'))
    else timer = dependencies.clock.setTimer(limits.reachabilityCheckMs, check)
  }

  if (isIdempotent(context)) timer = dependencies.clock.setTimer(limits.reachabilityCheckMs, check)
  return {
    signal: AbortSignal.any([scope.signal, unreachable.signal]),
    isUnreachable: () => unreachable.signal.aborted,
    stop: () => timer?.cancel()
  }
}
