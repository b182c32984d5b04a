/**
 * Keeps a request from its first send while no backend server of its service has room. It
 * then waits in the queue of the service, or is refused as not run. Retries and resumed streams pass.
 */
import { checkKey } from './checkKey.js'
import type { RoutedRequest } from './createPathSelector.js'
import type { RequestRecord } from './createRequestRecord.js'
import { describeDemand } from './describeDemand.js'
import type { RequestHandlerContext } from './requestHandler.js'
import { computeRetryAfter } from '../../../decisions/computeRetryAfter/index.js'
import type {
  AdmissionRefusal, AdmissionTicket, FinalReason, GatewayRefusal, GatewayRequest, GatewayRoute, LogFields, RefusalReason, WaitingDemand, WaitingPlace
} from '../../../types/index.js'

export type AdmissionGate = {
  /** Whether the request may be sent now; otherwise it waits, or was refused. Asked before the first send only. */
  readonly passes: (routed: RoutedRequest, deadlineAt: number) => boolean
  /** Ends the wait of a request that may not be served any more. */
  readonly check: () => void
  /** The request has its final answer, or its caller has left: gives up its place or its slot. */
  readonly end: (wasSent: boolean) => void
}

export type AdmissionGateOptions = {
  readonly request: GatewayRequest
  readonly record: Pick<RequestRecord, 'log'>
  /** Sends the request once there is room; every condition of a send is checked again. */
  readonly send: () => void
  readonly passesShutdown: (route: GatewayRoute) => boolean
  readonly refuse: (refusal: GatewayRefusal, evidence: LogFields) => void
}

/** The delay is short because a new connection reaches another node. */
export const SHUTTING_DOWN: GatewayRefusal = { status: 503, reason: 'shuttingDown', retryAfterMs: 20 }

const reasons: Partial<Readonly<Record<RefusalReason, FinalReason>>> = { overShare: 'overShare', queueFull: 'queueFull', repeatedEarly: 'repeatedEarly', lessUrgent: 'lessUrgent' }

const describeLimits = ({ queueLength, expectedWaitMs, accountTokens }: WaitingPlace['state'], demand: WaitingDemand, now: number): LogFields => ({
  queueLength,
  expectedWaitMs: Math.round(expectedWaitMs),
  waitLimitMs: Math.round(demand.deadlineAt - now),
  priority: demand.priority,
  account: demand.clientAccount,
  accountTokens: Math.round(accountTokens),
  isRepeat: demand.isRepeat
})

/** Whether the route of a waiting request is still the one that the configuration in force has under its name. */
const isRouteInForce = ({ configuration }: RequestHandlerContext, { name, host, pathPrefix }: GatewayRoute): boolean =>
  configuration.current()?.routes.some((route) => route.name === name && route.host === host && route.pathPrefix === pathPrefix) === true

/** Creates the gate of one request. */
export const createAdmissionGate = (context: RequestHandlerContext, { request, record, send, passesShutdown, refuse }: AdmissionGateOptions): AdmissionGate => {
  const { admission, clock, random, metrics, refusedCallers } = context
  let place: WaitingPlace | undefined
  let ticket: AdmissionTicket | undefined
  let demand: WaitingDemand | undefined
  let waiting: RoutedRequest | undefined
  let isWaiting = false
  let isEnded = false

  const countWait = (outcome: 'admitted' | 'refused' | 'left'): void => {
    isWaiting = false
    metrics.count('gateway_waits', { outcome, priority: String(demand?.priority) })
  }

  const refuseFor = ({ route, account }: RoutedRequest, deadlineAt: number, entered: WaitingDemand, { reason: cause, state }: AdmissionRefusal): void => {
    const reason = reasons[cause] ?? 'waitTooLong'
    const now = clock.now()
    const retryAfterMs = computeRetryAfter(random.next(), { reason, availableInMs: state?.expectedWaitMs ?? 0, remainingMs: deadlineAt - now })
    metrics.count('gateway_refusals', { reason, priority: String(entered.priority) })
    refusedCallers.record({ request, route, account }, retryAfterMs)
    refuse({ status: 503, reason, retryAfterMs }, state === undefined ? {} : describeLimits(state, entered, now))
  }

  /** Whether the reasons to serve the request have gone while it waited; the send checks the others. */
  const findObstacle = ({ route, account }: RoutedRequest): GatewayRefusal | undefined => {
    if (!isRouteInForce(context, route)) return { status: 404, reason: 'unknownRoute' }
    if (checkKey(context, request, route, account) === 'revoked') return { status: 401, reason: 'unknownKey' }
    return passesShutdown(route) ? undefined : SHUTTING_DOWN
  }

  const sendAdmitted = (routed: RoutedRequest, since: number): void => {
    countWait('admitted')
    const waitedMs = Math.round(clock.now() - since)
    const obstacle = findObstacle(routed)
    if (obstacle !== undefined) return refuse(obstacle, { waitedMs })
    record.log('request admitted', { waitedMs })
    send()
  }

  const enter = (routed: RoutedRequest, deadlineAt: number, entered: WaitingDemand): boolean => {
    const since = clock.now()
    place = admission?.enter(entered, (outcome) => {
      if (isEnded) return
      if (outcome.ok) {
        ticket = outcome.value
        if (isWaiting) sendAdmitted(routed, since)
        return
      }
      if (isWaiting) countWait('refused')
      refuseFor(routed, deadlineAt, entered, outcome.error)
    })
    if (ticket !== undefined || isEnded || place === undefined) return ticket !== undefined
    isWaiting = true
    waiting = routed
    record.log('request waits', describeLimits(place.state, entered, since))
    return false
  }

  return {
    passes: (routed, deadlineAt) => {
      // A caller that resumes its stream has waited already, and the work done for it would be lost.
      if (request.lastEventId !== undefined) return true
      if (ticket !== undefined || admission === undefined || !context.readControlsAdmission()) return true
      if (isWaiting || isEnded) return false
      demand = describeDemand(context, request, routed, deadlineAt)
      return enter(routed, deadlineAt, demand)
    },
    check: () => {
      if (!isWaiting || waiting === undefined) return
      const obstacle = findObstacle(waiting)
      if (obstacle !== undefined) refuse(obstacle, {})
    },
    end: (wasSent) => {
      if (isEnded) return
      isEnded = true
      if (isWaiting) countWait('left')
      place?.leave()
      ticket?.finish(wasSent ? demand?.tokens ?? 0 : 0)
    }
  }
}
