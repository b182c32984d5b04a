/** The forwarding service of a gateway node, as its callers see it. */
import type { CallerSink, GatewayRefusal, GatewayRequest } from './gateway.js'

export type ForwardingRun = {
  /** The whole body has been read. */
  readonly submit: (body: Uint8Array) => void
  /** The caller has left. */
  readonly cancel: () => void
  /** The body could not be read; the request is refused. */
  readonly reject: (refusal: GatewayRefusal) => void
}

export type Forwarding = {
  /** Takes a request once its head is read; refuses at once what can't be served. */
  readonly begin: (request: GatewayRequest, sink: CallerSink) => ForwardingRun
  readonly openRequests: () => number
  /** From now on requests that would not end before `endsAt` (monotonic milliseconds) are refused as not run. */
  readonly beginStopping: (endsAt: number) => void
}
