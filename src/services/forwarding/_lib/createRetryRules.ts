/**
 * Decides whether a request may be sent once more. Nothing changes by asking: a running
 * exchange is given up only when it is certain that another one takes its place.
 */
import { checkKey } from './checkKey.js'
import type { AttemptTarget } from './attemptTarget.js'
import type { CallerAnswer } from './createCallerAnswer.js'
import type { OpenPath, PathSelector, RoutedRequest } from './createPathSelector.js'
import type { RequestDeadline } from './createRequestDeadline.js'
import type { SendGate } from './createSendGate.js'
import type { RequestHandlerContext } from './requestHandler.js'
import type { GatewayRequest, GatewayRoute } from '../../../types/index.js'

/** Why a request stays with a target that sends nothing. */
export type StayReason =
  /** Its route allows no second send, or its answer has begun and can't be continued by another server. */
  | 'unrepeatable'
  | 'attemptsUsed' | 'retryBudget' | 'deadline' | 'keyNotValid' | 'shuttingDown' | 'promptQuarantined' | 'noInstance'

export type MoveDecision =
  | { readonly kind: 'move', readonly path: OpenPath }
  | { readonly kind: 'stay', readonly reason: StayReason }

export type SendProgress = {
  readonly mayHaveRun: boolean
  readonly sends: number
  /** Refusals by backend servers. */
  readonly refusals: number
}

export type RetryRules = {
  /** Whether another send is worth a try after the last attempt has ended; the send asks the gates. */
  readonly canRetry: (routed: RoutedRequest) => boolean
  /** Whether the request may leave a target that sends nothing, and for which path: every gate of a send is asked. */
  readonly decideMove: (routed: RoutedRequest, from: AttemptTarget) => MoveDecision
}

export type RetryRulesOptions = {
  readonly request: GatewayRequest
  readonly caller: Pick<CallerAnswer, 'isContinuable'>
  readonly paths: Pick<PathSelector, 'select' | 'hasArrived'>
  readonly gate: Pick<SendGate, 'isQuarantined'>
  readonly deadline: Pick<RequestDeadline, 'remainingMs'>
  readonly passesShutdown: (route: GatewayRoute) => boolean
  readonly readProgress: () => SendProgress
}

/** Refusals by backend servers after which the request itself is refused, whatever the retry budget: the service is full. */
const MAXIMUM_REFUSALS = 3

/** Creates the rules of one request. */
export const createRetryRules = (context: RequestHandlerContext, { request, caller, paths, gate, deadline, passesShutdown, readProgress }: RetryRulesOptions): RetryRules => {
  const isRepeatable = ({ retryPolicy, isResumable }: GatewayRoute): boolean =>
    (retryPolicy === 'safe' || (retryPolicy === 'stream' && isResumable)) && caller.isContinuable()

  /** Only the node of the caller retries what a backend server may have received, so that its limits hold across the hop. */
  const isWithinBudget = (service: string): boolean =>
    !paths.hasArrived() || (request.relay === undefined && context.retryWindows.canRetry(service))

  const stayReasons: readonly (readonly [StayReason, (routed: RoutedRequest) => boolean])[] = [
    ['unrepeatable', ({ route }) => !isRepeatable(route)],
    ['deadline', () => deadline.remainingMs() <= 1],
    ['attemptsUsed', ({ route }) => readProgress().sends >= route.maximumAttempts || readProgress().refusals >= MAXIMUM_REFUSALS],
    ['shuttingDown', ({ route }) => !passesShutdown(route)],
    ['keyNotValid', ({ route, account }) => checkKey(context, request, route, account) !== 'valid'],
    ['promptQuarantined', ({ service }) => gate.isQuarantined(service)],
    ['retryBudget', ({ service }) => !isWithinBudget(service)]
  ]

  return {
    canRetry: (routed) => {
      const { mayHaveRun, sends, refusals } = readProgress()
      if (deadline.remainingMs() <= 0) return false
      if (mayHaveRun && (!isRepeatable(routed.route) || sends >= routed.route.maximumAttempts)) return false
      return refusals < MAXIMUM_REFUSALS && isWithinBudget(routed.service) && paths.select(routed).kind !== 'none'
    },
    decideMove: (routed, from) => {
      const against = stayReasons.find(([, holds]) => holds(routed))
      if (against !== undefined) return { kind: 'stay', reason: against[0] }
      const path = paths.select(routed, from)
      return path.kind === 'none' ? { kind: 'stay', reason: 'noInstance' } : { kind: 'move', path }
    }
  }
}
