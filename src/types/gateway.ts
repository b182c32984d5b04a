/**
 * What a gateway node works with: a node that routes whole HTTP requests by
 * host and path to backend servers found at run time. Adapters decode their
 * wire formats once into these types; nothing here is a wire name.
 */
import type { PeerAddress } from './peer.js'
import type { Result } from './result.js'

/** Which repeats of a request are harmless: any, none, or a stream's that goes on after an event. */
export type RepeatPolicy = 'safe' | 'unsafe' | 'stream'

export type GatewayTarget = {
  readonly service: string
  /** Share of the route's requests, against the sum of its targets' weights. */
  readonly weight: number
}

export type GatewayRoute = {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly targets: readonly GatewayTarget[]
  readonly repeatPolicy: RepeatPolicy
  /** Whether a stream may go on at another backend server after an event id. */
  readonly isResumable: boolean
  /** Longest time in milliseconds until the final answer. */
  readonly timeoutMs: number
  /** Time in milliseconds within which the answer (a stream: its first event) is worth most. */
  readonly goalMs: number
  /** Longest pause in milliseconds between two events of a stream that is still on time. */
  readonly pauseGoalMs: number
  /** Most backend servers that one request may be sent to. */
  readonly maximumAttempts: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Whether requests need no key. */
  readonly isPublic: boolean
  /** Regions in which it may be served; empty or left out where any will do. */
  readonly allowedRegions?: readonly string[]
}

export type GatewayService = {
  readonly name: string
  readonly healthPath: string
  /** Connections that one backend server accepts from all callers together. */
  readonly maximumConnections: number
  /** Whether its backend servers are model engines that keep prompt prefixes. */
  readonly isEngine: boolean
  /** What a backend server bears while it warms up after its start; left out where it bears its full load. */
  readonly warmUp?: { readonly durationMs: number, readonly requestsPerSecond: number }
}

export type GatewayLimits = {
  readonly maximumHeaderBytes: number
  readonly maximumBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

export type GatewayAccount = {
  readonly name: string
  /** Goes before the route's priority when set. */
  readonly priority?: number
  /** Regions in which its requests may be served; both these and the route's bind. */
  readonly allowedRegions?: readonly string[]
}

export type GatewayConfiguration = {
  /** Grows from one configuration to the next, in uneven steps. */
  readonly version: number
  readonly routes: readonly GatewayRoute[]
  readonly services: ReadonlyMap<string, GatewayService>
  readonly limits: GatewayLimits
  /** Whether routes that are not public need a key. */
  readonly needsKeys: boolean
  readonly accountsByKey: ReadonlyMap<string, GatewayAccount>
}

export type BackendInstance = {
  readonly id: string
  readonly service: string
  readonly address: PeerAddress
  readonly availabilityZone: string
  /** Requests that it works on at once. */
  readonly slots: number
  readonly isLeaving: boolean
  /** Unix milliseconds of its start: a new start under an old id has a higher one. */
  readonly incarnation: number
  /** Milliseconds for which it stays slow after its start, from when this was read. */
  readonly warmUpMs: number
}

export type PromptPart = { readonly id: string, readonly tokens: number }

/** Names and values in the order of the wire. */
export type HeaderList = readonly (readonly [name: string, value: string])[]

export type GatewayRequest = {
  readonly requestId: string
  readonly method: string
  readonly host: string
  /** Path with query, as the caller sent it. */
  readonly target: string
  /** What goes on to the backend server unchanged. */
  readonly headers: HeaderList
  readonly credential: string | undefined
  /** How long the caller waits, in milliseconds from the first byte. */
  readonly callerTimeoutMs: number | undefined
  /** Last event that the caller has of a broken stream. */
  readonly lastEventId: number | undefined
  /** Parts of the prompt in order; the first ones are shared with other requests. */
  readonly promptParts: readonly PromptPart[]
  /** Prompt tokens plus the most tokens that may be generated. */
  readonly tokens: { readonly prompt: number, readonly output: number }
  /** Monotonic milliseconds of the request's first byte. */
  readonly receivedAt: number
}

/** One send of a request to one backend server. */
export type GatewayAttempt = {
  readonly request: GatewayRequest
  readonly body: Uint8Array
  readonly instance: BackendInstance
  readonly account: string | undefined
  readonly remainingMs: number
  readonly priority: number
  /** The stream goes on after this event. */
  readonly resumeAfter: number | undefined
  /** Another backend server that keeps more of the prompt, from which this one can copy it. */
  readonly copyPromptFrom: PeerAddress | undefined
}

export type InstanceLoad = { readonly running: number, readonly waiting: number, readonly slots: number }

/** Head of a backend server's answer, decoded. */
export type InstanceAnswer = {
  readonly status: number
  /** What goes back to the caller unchanged. */
  readonly headers: HeaderList
  readonly requestId: string | undefined
  /** Whether the backend server vouches for the answer as its own. */
  readonly isSigned: boolean
  /** Whether it states that it did not run the request. */
  readonly isNotRun: boolean
  /** Another backend server has the address. */
  readonly isOtherInstance: boolean
  readonly load: InstanceLoad | undefined
  readonly contentLength: number | undefined
  readonly isEventStream: boolean
  readonly isEncoded: boolean
}

export type ExchangeFailure =
  /** No byte of the request was written: it was surely not run. */
  | { readonly kind: 'notSent', readonly message: string }
  /** The request was written and the answer did not come, or not whole. It may have run. */
  | { readonly kind: 'broken', readonly message: string }

/** What an exchange with a backend server tells, in this order: sent, head, data, then one of end and failure. */
export type ExchangeListener = {
  readonly onSent: () => void
  readonly onHead: (answer: InstanceAnswer) => void
  readonly onData: (bytes: Uint8Array) => void
  readonly onEnd: () => void
  readonly onFailure: (failure: ExchangeFailure) => void
}

export type Exchange = {
  /** Closes its connection at once; nothing more is told. */
  readonly abort: () => void
  readonly pause: () => void
  readonly resume: () => void
}

export type InstanceClient = {
  readonly send: (attempt: GatewayAttempt, listener: ExchangeListener) => Exchange
  /** Tries whether a connection can be made; it carries no request. */
  readonly probe: (instance: BackendInstance) => Promise<boolean>
  /** Closes the idle connections to backend servers that are not in the set of `id@incarnation`. */
  readonly retain: (live: ReadonlySet<string>) => void
  readonly close: () => void
}

export type FinalReason =
  | 'badRequest' | 'headerTooLarge' | 'bodyTooLarge' | 'unknownRoute' | 'unknownKey' | 'noConfiguration' | 'staleKeys'
  | 'noInstance' | 'serviceFull' | 'deadlineBeforeSend' | 'deadline' | 'instanceFailed' | 'answerBroken'
  | 'instancesRefused' | 'shuttingDown' | 'crossedAnswer' | 'zoneDrained' | 'warmingUp' | 'regionNotAllowed'

/** A final answer that the node itself makes. */
export type GatewayRefusal = {
  readonly status: number
  readonly reason: FinalReason
  /** When to come back, in milliseconds. */
  readonly retryAfterMs?: number
}

/** Where the final answer goes. After `end`, `fail` or `refuse` nothing more may be written. */
export type CallerSink = {
  readonly refuse: (refusal: GatewayRefusal) => void
  readonly whole: (answer: InstanceAnswer, body: Uint8Array) => void
  readonly head: (answer: InstanceAnswer) => void
  /** Returns false when the caller reads slower than the answer comes. */
  readonly data: (bytes: Uint8Array) => boolean
  readonly onDrain: (listener: () => void) => void
  readonly end: () => void
  /** Ends the connection so that the answer does not look complete. */
  readonly fail: () => void
}

/** Reads the wire's names on the caller's and the backend server's side. */
export type GatewayDialect = {
  readonly decodeRequest: (raw: RawRequest) => Result<GatewayRequest, GatewayRefusal>
  readonly encodeAttempt: (attempt: GatewayAttempt) => readonly string[]
  readonly decodeAnswer: (status: number, headers: HeaderList) => InstanceAnswer
}

export type RawRequest = {
  readonly method: string
  readonly target: string
  readonly headers: HeaderList
  readonly receivedAt: number
}
