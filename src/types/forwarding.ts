/** Interface of the forwarding service of a gateway node. */
import type { CallerSink, GatewayRefusal, GatewayRequest } from './gateway.js'

export type ForwardedRequest = {
  /** Continues with the request once its complete body has been read. */
  readonly submit: (body: Uint8Array) => void
  /** Ends the request because the caller has disconnected. */
  readonly cancel: () => void
  /** Refuses the request because its body could not be read. */
  readonly reject: (refusal: GatewayRefusal) => void
}

export type Forwarding = {
  /** Accepts a request once its headers have been read; refuses it at once if it cannot be served. */
  readonly begin: (request: GatewayRequest, sink: CallerSink) => ForwardedRequest
  readonly openRequests: () => number
  /** Starts the shutdown: requests that would not finish before `endsAt` (monotonic milliseconds) are refused as not run. */
  readonly beginShutdown: (endsAt: number) => void
}
