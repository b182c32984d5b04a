/**
 * The shutdown of a gateway before its process exits: readiness fails at once, and requests
 * are served until none is open and no more are expected, or the grace period is nearly over.
 */
import { afterTurn } from '../../../adapters/afterTurn/index.js'
import { describeOpenRequests } from './describeOpenRequests.js'
import type { GatewayHttp } from '../../../adapters/gatewayHttp/index.js'
import type { Clock, Forwarding, Logger } from '../../../types/index.js'

export type ShutdownDependencies = {
  readonly clock: Clock
  readonly logger: Pick<Logger, 'info'>
  readonly forwarding: Pick<Forwarding, 'openRequests' | 'listOpen' | 'beginShutdown' | 'endOpen'>
  readonly announceLeaving: () => void
  /** Listeners for callers and peers. */
  readonly listeners: readonly GatewayHttp[]
  /** Time in milliseconds after which the platform kills the process. */
  readonly graceMs: number
  /** Monotonic milliseconds at which the grace period began. */
  readonly requestedAt: number
}

/** The load balancer checks readiness once a second and stops sending after two failed checks; connections already under way still arrive. */
const BALANCER_REMOVAL_MS = 3_200
/** After this time without a new connection or request, no more are expected. */
const IDLE_PERIOD_MS = 200
/** Time before the end in which no connections are accepted any more: requests on the last ones are answered in it. */
const LAST_CONNECTIONS_MS = 250
/** Time for the same after a process was paused over the end of its grace period. */
const MINIMUM_LAST_CONNECTIONS_MS = 100
/** Part of the grace period that is reserved for closing. */
const GRACE_MARGIN_MS = 500
/** The same for a short grace period: what runs is cut in its last sixth at the earliest. */
const MAXIMUM_MARGIN_SHARE = 1 / 8
/** Share of that margin in which the final answers of requests that are still open are written. */
const LAST_ANSWERS_SHARE = 1 / 5
const POLL_INTERVAL_MS = 50
/** Interval at which the open requests are logged. The last of these lines tells what a process that is killed has cut. */
const REPORT_INTERVAL_MS = 1_000

/** Serves until the gateway may exit; `end` is the caller's part. */
export const shutDownGateway = async ({ clock, logger, forwarding, announceLeaving, listeners, graceMs, requestedAt: startedAt }: ShutdownDependencies): Promise<void> => {
  // In a zone with few nodes in rotation, all of them receive new connections, including nodes that are shutting down.
  const marginMs = Math.min(GRACE_MARGIN_MS, graceMs * MAXIMUM_MARGIN_SHARE)
  const endsAt = startedAt + graceMs - marginMs
  // After a pause the signal may have come at its end as well. An answer that has begun is cut sooner for nothing then.
  const latestEndsAt = clock.now() + graceMs - marginMs
  let reportedAt = startedAt

  const wait = (milliseconds: number): Promise<void> => new Promise((resolve) => { clock.setTimer(milliseconds, resolve) })

  const countConnections = (): number => listeners.reduce((sum, { openConnections }) => sum + openConnections(), 0)

  const reportOpen = (): void => {
    const now = clock.now()
    reportedAt = now
    logger.info('requests open at shutdown', { ...describeOpenRequests(forwarding.listOpen(), now), connections: countConnections(), shutdownMs: Math.round(now - startedAt), untilExitMs: Math.round(endsAt - now) })
  }

  const waitUntil = async (isOver: () => boolean): Promise<void> => {
    while (!isOver()) {
      await wait(POLL_INTERVAL_MS)
      if (clock.now() - reportedAt >= REPORT_INTERVAL_MS) reportOpen()
    }
  }

  const closeIdle = (): void => { for (const listener of listeners) listener.closeIdle() }

  const isIdle = (): boolean => forwarding.openRequests() === 0 && listeners.every((listener) => !listener.awaitsRequests() && clock.now() - listener.lastUsedAt() > IDLE_PERIOD_MS)

  const waitUntilIdle = (latest: number): Promise<void> => waitUntil(() => {
    const isOver = clock.now() >= latest || isIdle()
    if (!isOver) closeIdle()
    return isOver
  })

  logger.info('gateway stopping', { open: forwarding.openRequests(), connections: countConnections(), graceMs, shutdownMs: Math.round(clock.now() - startedAt) })
  announceLeaving()
  for (const listener of listeners) listener.beginClosing()
  forwarding.beginShutdown(endsAt, startedAt)
  reportOpen()
  const removedAt = startedAt + Math.min(BALANCER_REMOVAL_MS, graceMs / 2)
  await waitUntil(() => clock.now() >= removedAt)
  closeIdle()
  await waitUntilIdle(endsAt - LAST_CONNECTIONS_MS)
  await Promise.all(listeners.map(({ stopAccepting }) => stopAccepting()))
  await waitUntilIdle(Math.max(endsAt, clock.now() + MINIMUM_LAST_CONNECTIONS_MS))
  // What arrived last is answered before the connections are closed.
  await new Promise<void>(afterTurn)
  const open = forwarding.openRequests()
  if (open > 0) {
    reportOpen()
    forwarding.endOpen({ keepsBegun: true })
    await waitUntilIdle(latestEndsAt)
    forwarding.endOpen()
    await wait(marginMs * LAST_ANSWERS_SHARE)
  }
  logger.info('gateway stopped', { open, ms: Math.round(clock.now() - startedAt), untilExitMs: Math.round(endsAt - clock.now()) })
}
