/** Types of exchanges with backend servers and peers: one request and its answer on one connection. */
import type { BackendInstance, GatewayAttempt, InstanceAnswer, RelayAttempt } from './gateway.js'

export type ExchangeFailure =
  /** No byte of the request was written, so it was certainly not run. */
  | { readonly kind: 'notSent', readonly message: string }
  /** `maySend` returned false when the connection was ready: no byte was written, and the server is reachable. */
  | { readonly kind: 'withdrawn', readonly message: string }
  /** The request was written, but no complete answer arrived. It may have run. */
  | { readonly kind: 'broken', readonly message: string }

/** Receives the events of an exchange with a backend server, in this order: sent, head, data, then either end or failure. */
export type ExchangeListener = {
  /**
   * Asked when the connection is ready, right before the first byte is written. All that had arrived at this node
   * `readAgeMs` milliseconds ago has been read.
   */
  readonly maySend: (readAgeMs: number) => boolean
  readonly onSent: () => void
  readonly onHead: (answer: InstanceAnswer) => void
  readonly onData: (bytes: Uint8Array) => void
  readonly onEnd: () => void
  readonly onFailure: (failure: ExchangeFailure) => void
}

export type Exchange = {
  /** Closes the connection at once; no further event is delivered. */
  readonly abort: () => void
  readonly pause: () => void
  readonly resume: () => void
  /** Bytes of the answer that arrived while it was paused; 0 where that is not known. */
  readonly countPausedBytes?: () => number
}

/** Bodies of requests on their way to backend servers, in bytes. */
export type UploadBytes = {
  /** Written, and not taken by the connection yet. */
  readonly unsent: number
  /** Sent to servers that have not begun to answer; they hold these. */
  readonly unanswered: number
}

export type InstanceClient = {
  readonly send: (attempt: GatewayAttempt, listener: ExchangeListener) => Exchange
  /** Whether the backend server does not take the bodies that this node sends it. Omitted where that is not observed. */
  readonly isReadingSlowly?: (instance: BackendInstance) => boolean
  readonly countUploadBytes?: () => UploadBytes
  /** Checks whether a connection can be opened, without sending a request. */
  readonly probe: (instance: BackendInstance) => Promise<boolean>
  /** Closes idle connections to backend servers whose `id@incarnation` is not in the set. */
  readonly retain: (live: ReadonlySet<string>) => void
  readonly close: () => void
}

/** Sends requests to peers, which send them to backend servers. */
export type RelayClient = {
  readonly send: (attempt: RelayAttempt, listener: ExchangeListener) => Exchange
  /** Closes idle connections to peers whose name is not in the set. */
  readonly retain: (live: ReadonlySet<string>) => void
  readonly close: () => void
}
