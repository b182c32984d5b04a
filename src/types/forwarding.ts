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

/** What one node has used of the fleet's retry budget for a service, and what it takes for its share. */
export type RetryUsage = {
  readonly service: string
  /** First sends and retries of this node within the window. */
  readonly requests: number
  readonly retries: number
  /** Retries that this node may send in a window beyond the ratio of its requests, before any margin. */
  readonly constantShare: number
  /** Number of nodes by which the constant is divided; `undefined` while unknown, and the share is 0 then. */
  readonly nodes: number | undefined
  /** Milliseconds for which this process has counted. */
  readonly sinceMs: number
}

/** A request without a final answer, for the log of a node that is shutting down. */
export type OpenRequest = {
  readonly requestId: string
  readonly route: string | undefined
  /** Monotonic milliseconds at which its first byte arrived. */
  readonly receivedAt: number
  /** Backend server or peer at which it runs; `undefined` while none has it. */
  readonly target: string | undefined
  /** Monotonic milliseconds at which bytes last arrived from the target. */
  readonly lastBytesAt: number | undefined
}

export type Forwarding = {
  /** Accepts a request once its headers have been read; refuses it at once if it cannot be served. */
  readonly begin: (request: GatewayRequest, sink: CallerSink) => ForwardedRequest
  readonly openRequests: () => number
  /** The open requests, oldest first. */
  readonly listOpen: () => readonly OpenRequest[]
  /** This node's view of the retry budget, by service. */
  readonly retryUsage: () => readonly RetryUsage[]
  /** Starts the shutdown: requests that would not finish before `endsAt` (monotonic milliseconds) are refused as not run. */
  readonly beginShutdown: (endsAt: number, beganAt?: number) => void
  /** Gives every open request its final answer now, because the node exits. Answers that have begun go on where `keepsBegun` is set. */
  readonly endOpen: (options?: { readonly keepsBegun: boolean }) => void
}
