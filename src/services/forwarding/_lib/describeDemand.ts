/** Describes a request to the admission queue of its service: its work, its rank, and until when it may wait. */
import type { RoutedRequest } from './createPathSelector.js'
import type { RequestHandlerContext } from './requestHandler.js'
import { listUsable, type SelectionInput } from './selectInstance.js'
import { isStreamToResume } from '../../../decisions/isStreamToResume/index.js'
import { computeWaitLimit } from '../../../decisions/computeWaitLimit/index.js'
import { estimateWork } from '../../../decisions/estimateWork/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import type { BackendInstance, GatewayRequest, GatewayRoute, WaitingDemand } from '../../../types/index.js'

/** Name under which the requests without a client account share; no account has an empty name. */
const NO_ACCOUNT = ''

/** Time per token before a stream was observed, in milliseconds. */
const DEFAULT_TOKEN_INTERVAL_MS = 10

/** Largest part of the latency target that the answer may need: in a slow service all requests would count as late from the begin. */
const MAXIMUM_FIRST_BYTE_SHARE = 0.5

const estimateFirstByteMs = ({ firstByteTimes }: RequestHandlerContext, { name, latencyTargetMs }: GatewayRoute): number =>
  Math.min(firstByteTimes.readAverage(name) ?? 0, MAXIMUM_FIRST_BYTE_SHARE * latencyTargetMs)

const estimateWorkMs = ({ firstByteTimes, tokenPace }: RequestHandlerContext, { tokens, estimatedOutputTokens }: GatewayRequest, { route, service }: RoutedRequest): number => {
  const firstByteMs = firstByteTimes.readAverage(route.name) ?? route.latencyTargetMs
  if (route.retryPolicy !== 'stream') return firstByteMs
  return firstByteMs + Math.min(tokens.output, estimatedOutputTokens ?? tokens.output) * (tokenPace.read(service) ?? DEFAULT_TOKEN_INTERVAL_MS)
}

const hasFreeSlot = ({ loadView }: RequestHandlerContext, instance: BackendInstance): boolean =>
  instance.slots <= 0 || loadView.estimateInFlight(formatInstanceKey(instance)) < instance.slots

/**
 * Whether a backend server that may get the request has room. Where none may get it, or only suspended ones, waiting
 * does not help: the send decides.
 */
const hasRoom = (context: RequestHandlerContext, { latencyTargetMs }: GatewayRoute, input: SelectionInput): boolean => {
  const { usable, isLastResort } = listUsable(context, input)
  if (usable.length === 0 || isLastResort) return true
  const timeLeftMs = input.request.receivedAt + latencyTargetMs - context.clock.now()
  // A late request may begin wherever one with all of its time may.
  const targetMs = timeLeftMs > 0 ? timeLeftMs : latencyTargetMs
  const hasRoomAt = context.hasRoom ?? ((instance: BackendInstance) => hasFreeSlot(context, instance))
  return usable.some((instance) => hasRoomAt(instance, input.request, targetMs))
}

/** Describes a request; `deadlineAt` is in monotonic milliseconds. */
export const describeDemand = (context: RequestHandlerContext, request: GatewayRequest, routed: RoutedRequest, deadlineAt: number): WaitingDemand => {
  const { route, account, service, bodyBytes } = routed
  const allowedRegions = [route.allowedRegions ?? [], account?.allowedRegions ?? []]
  const input: SelectionInput = { request, service, bodyBytes, tried: new Set(request.relay?.tried), allowedRegions, mustBeRegistered: isStreamToResume(route) && (request.lastEventId ?? 0) === 0 }
  const isModelService = context.configuration.current()?.services.get(service)?.isModelService === true
  const isRepeat = context.refusedCallers.isEarly({ request, route, account })
  const isRestricted = allowedRegions.some((regions) => regions.length > 0)
  return {
    clientAccount: account?.name ?? NO_ACCOUNT,
    service,
    // Requests that may go to other servers wait apart, so that one region without room holds up no other.
    ...(isRestricted ? { queue: JSON.stringify([service, allowedRegions]) } : {}),
    tokens: estimateWork(request, isModelService),
    overnight: false,
    priority: account?.priority ?? route.priority,
    deadlineAt: computeWaitLimit({
      retryPolicy: route.retryPolicy,
      latencyTargetMs: route.latencyTargetMs,
      receivedAt: request.receivedAt,
      deadlineAt,
      workMs: estimateWorkMs(context, request, routed),
      isRepeat
    }),
    onTimeUntil: request.receivedAt + route.latencyTargetMs - estimateFirstByteMs(context, route),
    bytes: bodyBytes,
    isRepeat,
    hasRoom: () => hasRoom(context, route, input)
  }
}
