/** Prepares the next send of a request on a selected path: its target, and what the log tells about it. */
import type { AttemptTarget } from './attemptTarget.js'
import { createInstanceTarget } from './createInstanceTarget.js'
import type { OpenPath } from './createPathSelector.js'
import { createPeerTarget } from './createPeerTarget.js'
import { describeReach } from './describeReach.js'
import { describeSend } from './describeSend.js'
import type { RequestHandlerContext } from './requestHandler.js'
import type { GatewayAccount, GatewayRequest, GatewayRoute, LogFields } from '../../../types/index.js'
import type { GatewayEvent } from '../../../types/gatewayEvents.js'

export type SendInput = {
  readonly request: GatewayRequest
  readonly route: GatewayRoute
  readonly account: GatewayAccount | undefined
  readonly service: string
  readonly body: Uint8Array
  readonly remainingMs: number
  /** Id of the event after which the stream is to be resumed. */
  readonly resumeAfter: number | undefined
  /** Ids of backend servers that may have received the request. */
  readonly arrived: readonly string[]
  /** Software version at which the stream must go on. */
  readonly softwareVersion: string | undefined
  /** Whether nothing was sent for the request yet. */
  readonly isFirst: boolean
  /** Whether the send counts as a retry: a backend server, or a peer, may have received the request. */
  readonly isRetry: boolean
}

export type PreparedSend = { readonly target: AttemptTarget, readonly event: GatewayEvent, readonly fields: LogFields }

const preparations: { readonly [Kind in OpenPath['kind']]: (context: RequestHandlerContext, path: Extract<OpenPath, { kind: Kind }>, input: SendInput) => PreparedSend } = {
  direct: (context, { chosen }, { request, route, account, body, remainingMs, resumeAfter, isFirst }) => {
    const { instance, copyPromptFrom } = chosen
    const priority = account?.priority ?? route.priority
    if (copyPromptFrom !== undefined) context.metrics.count('gateway_prompt_copies')
    return {
      target: createInstanceTarget(context, route, { request, body, instance, account: account?.name, remainingMs, priority, resumeAfter, copyPromptFrom: copyPromptFrom?.address }),
      event: isFirst ? 'request sent' : 'request sent again',
      fields: { ...describeSend(context, request, chosen), relayedFor: request.relay?.nodeId }
    }
  },
  peer: (context, { peer }, { request, service, body, remainingMs, resumeAfter, arrived, softwareVersion }) => {
    context.metrics.count('gateway_relays')
    return {
      target: createPeerTarget(context.relays, { request, body, peer, origin: { nodeId: context.nodeId, service, tried: arrived, ...(softwareVersion === undefined ? {} : { softwareVersion }) }, remainingMs, resumeAfter }),
      event: 'request relayed',
      fields: { peer: peer.nodeId, zone: peer.availabilityZone, ...describeReach(context) }
    }
  }
}

/** What this node has used of the retry budget, the retry that it sends now included. */
const describeRetries = ({ retryWindows }: RequestHandlerContext, service: string): LogFields => {
  const { requests, retries, constantShare, nodes, sinceMs } = retryWindows.describe(service)
  return { budgetRequests: requests, budgetRetries: retries, budgetConstantShare: constantShare, budgetNodes: nodes, budgetSinceMs: Math.round(sinceMs) }
}

/** Prepares a send. */
export const prepareSend = (context: RequestHandlerContext, path: OpenPath, input: SendInput): PreparedSend => {
  const prepare = preparations[path.kind] as (context: RequestHandlerContext, path: OpenPath, input: SendInput) => PreparedSend
  const { target, event, fields } = prepare(context, path, input)
  return {
    target,
    event,
    fields: { ...fields, remainingMs: Math.round(input.remainingMs), resumeAfter: input.resumeAfter, begunRequestId: input.request.begunRequestId, ...(input.isRetry ? describeRetries(context, input.service) : {}) }
  }
}
