/**
 * Guards against a backend server that vanishes without closing its
 * connections: a dead VM, a cut zone. It shows as silence on a connection that
 * looks healthy, and without this the request would wait for its deadline.
 * Silence alone proves nothing, since a busy engine is silent too; so an
 * attempt is only given up once the server does not answer probes either, and
 * only while the request can still be run elsewhere.
 */
import type { BackendServer, Timer } from '../../../types/index.js'
import { mayRepeat, type RequestContext } from './requestContext.js'

export type ReachabilityWatch = {
  /** Aborts with the request's scope, or when the backend server is lost. */
  readonly signal: AbortSignal
  readonly isLost: () => boolean
  readonly stop: () => void
}

/** Checks that must agree, one interval apart, before an attempt is given up. */
const CHECKS_TO_LOSE = 2

export const isUnreachable = ({ dependencies }: RequestContext, backendServer: BackendServer): boolean =>
  dependencies.backendHealth.status(backendServer.name).state === 'unreachable'

export const watchReachability = (context: RequestContext, backendServer: BackendServer): ReachabilityWatch => {
  const { dependencies, scope, reply, limits, reachabilityProbes } = context
  const lost = new AbortController()
  let agreeing = 0
  let timer: Timer | undefined

  const check = (): void => {
    if (reply.hasStarted()) return
    const isAway = isUnreachable(context, backendServer) || reachabilityProbes.check(backendServer)
    agreeing = isAway ? agreeing + 1 : 0
    if (agreeing >= CHECKS_TO_LOSE) lost.abort(new Error('the backend server became unreachable'))
    else timer = dependencies.clock.setTimer(limits.reachabilityCheckMs, check)
  }

  if (mayRepeat(context)) timer = dependencies.clock.setTimer(limits.reachabilityCheckMs, check)
  return {
    signal: AbortSignal.any([scope.signal, lost.signal]),
    isLost: () => lost.signal.aborted,
    stop: () => timer?.cancel()
  }
}
