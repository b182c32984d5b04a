/**
 * Types of a gateway node, which routes complete HTTP requests by host and path
 * to backend servers found at run time. Adapters convert their wire formats
 * into these types; no name in this file appears on the wire.
 */
import type { PeerAddress } from './peer.js'
import type { Result } from './result.js'

/** Whether a request may be retried: always (`safe`), never (`unsafe`), or only by resuming a stream after an event (`stream`). */
export type RetryPolicy = 'safe' | 'unsafe' | 'stream'

export type GatewayTarget = {
  readonly service: string
  /** Share of the route's requests, relative to the sum of its targets' weights. */
  readonly weight: number
}

export type GatewayRoute = {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly targets: readonly GatewayTarget[]
  readonly retryPolicy: RetryPolicy
  /** Whether a stream can be resumed on another backend server after an event id. */
  readonly isResumable: boolean
  /** Maximum time until the final answer, in milliseconds. */
  readonly timeoutMs: number
  /** Latency target in milliseconds for the answer, or for the first event of a stream. */
  readonly latencyTargetMs: number
  /** Target for the gap between two events of a stream, in milliseconds. */
  readonly eventGapTargetMs: number
  /** Maximum number of backend servers that one request may be sent to. */
  readonly maximumAttempts: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Whether requests need no key. */
  readonly isPublic: boolean
  /** Regions in which requests may be served; any region when empty or omitted. */
  readonly allowedRegions?: readonly string[]
}

/** Capacity of each model engine of a service, and how engines exchange prompt caches and running requests. */
export type EngineCapacity = {
  /** Requests that it runs at once. */
  readonly slots: number
  /** Memory for running requests and cached prompt parts, in tokens. */
  readonly memoryTokens: number
  /** Size of one token in a transfer between engines, in bytes. */
  readonly bytesPerToken: number
  /** Speed of transfers between engines, in megabits per second. */
  readonly linkMbps: number
  /** Whether a running request can be moved to another engine. */
  readonly canMove: boolean
  /** Whether the memory of a running request can be copied to another engine while it grows. */
  readonly canBackUp: boolean
  /** How long an engine keeps such a copy after its last part, in milliseconds. */
  readonly copyLifetimeMs: number
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number
}

export type GatewayService = {
  readonly name: string
  readonly healthPath: string
  /** Maximum number of connections that one backend server accepts from all callers together. */
  readonly maximumConnections: number
  /** Whether its backend servers are model engines, which cache prompt prefixes. */
  readonly isModelService: boolean
  /** Its model engines; omitted for other services, and where the configuration does not describe them completely. */
  readonly engine?: EngineCapacity
  /** Request rate that a backend server can take while it warms up after its start; omitted when it can take full load at once. */
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
  /** Overrides the route's priority when set. */
  readonly priority?: number
  /** Regions in which its requests may be served; the route's restriction applies as well. */
  readonly allowedRegions?: readonly string[]
}

export type GatewayConfiguration = {
  /** Increases with each configuration, by steps of any size. */
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
  /** Number of requests that it runs at once. */
  readonly slots: number
  readonly isLeaving: boolean
  /** Unix milliseconds of its start. A restart under the same id has a higher value. */
  readonly incarnation: number
  /** Remaining warm-up time in milliseconds when this entry was read. */
  readonly warmUpMs: number
  /** Version of its software; versions have no order. Omitted when the entry states none. */
  readonly softwareVersion?: string
  /** Whether its version is not registered yet, as far as the node knows: streams that may be resumed must not begin there. */
  readonly isUnregistered?: boolean
}

export type PromptPart = { readonly id: string, readonly tokens: number }

/** Header names and values in wire order. */
export type HeaderList = readonly (readonly [name: string, value: string])[]

export type GatewayRequest = {
  readonly requestId: string
  readonly method: string
  readonly host: string
  /** Path with query, as the caller sent it. */
  readonly target: string
  /** Headers that are forwarded to the backend server unchanged. */
  readonly headers: HeaderList
  readonly credential: string | undefined
  /** The caller's time-out, in milliseconds from the first byte. */
  readonly callerTimeoutMs: number | undefined
  /** Id of the last event that the caller received before its stream broke. */
  readonly lastEventId: number | undefined
  /** Id of the request that brought the first event of the stream that this one resumes, as the caller states it. */
  readonly begunRequestId?: string
  /** Parts of the prompt in order; leading parts may be shared with other requests. */
  readonly promptParts: readonly PromptPart[]
  /** Number of prompt tokens and maximum number of generated tokens. */
  readonly tokens: { readonly prompt: number, readonly output: number }
  /** The caller's estimate of the number of generated tokens; often far off. Omitted when it gave none. */
  readonly estimatedOutputTokens?: number
  /** Monotonic milliseconds at which the request's first byte was read. */
  readonly receivedAt: number
  /** Milliseconds for which the request had lain unread by then at most; omitted where it was read at once. Its deadline begins with `receivedAt`, since it may have arrived last. */
  readonly unreadMs?: number
  /** Set when a peer sent the request because it does not reach the backend servers itself. */
  readonly relay?: RelayOrigin
}

/** What a peer states about a request that it relays. */
export type RelayOrigin = {
  readonly nodeId: string
  /** The service that the peer selected among the targets of the route. */
  readonly service: string
  /** Ids of backend servers that may have received the request already. */
  readonly tried: readonly string[]
  /** Software version at which the stream must go on; omitted while it may begin anywhere. */
  readonly softwareVersion?: string
}

/** A peer through which requests reach backend servers. */
export type RelayPeer = {
  readonly nodeId: string
  readonly incarnation: number
  readonly availabilityZone: string
  /** Where it listens for requests of its peers. */
  readonly address: PeerAddress
}

/** One attempt to run a request through a peer. */
export type RelayAttempt = {
  readonly request: GatewayRequest
  readonly body: Uint8Array
  readonly peer: RelayPeer
  readonly origin: RelayOrigin
  readonly remainingMs: number
  /** Id of the event after which the stream is to be resumed. */
  readonly resumeAfter: number | undefined
}

/** One attempt to run a request on one backend server. */
export type GatewayAttempt = {
  readonly request: GatewayRequest
  readonly body: Uint8Array
  readonly instance: BackendInstance
  readonly account: string | undefined
  readonly remainingMs: number
  readonly priority: number
  /** Id of the event after which the stream is to be resumed. */
  readonly resumeAfter: number | undefined
  /** A backend server that has more of the prompt cached, from which this one can copy it. */
  readonly copyPromptFrom: PeerAddress | undefined
}

export type InstanceLoad = {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work takes there at this moment, as a multiple of the usual time; omitted when the server does not state it. */
  readonly slowdown?: number
}

/** What a backend server states about itself in the head of any answer. */
export type InstanceNotice = {
  /** Milliseconds during which it accepts no requests from this node; `undefined` when it asked for no backoff. */
  readonly backoffMs: number | undefined
  /** Whether it is shutting down. */
  readonly isLeaving: boolean
  /** Refusals for want of room that it bears in one second, from all nodes together; more make it fail. Omitted when it states no limit. */
  readonly refusalLimit?: number
}

/** Decoded status and headers of a backend server's answer. */
export type InstanceAnswer = InstanceNotice & {
  readonly status: number
  /** Headers that are returned to the caller unchanged. */
  readonly headers: HeaderList
  readonly requestId: string | undefined
  /** Whether the answer carries the backend server's own stamp. */
  readonly isSigned: boolean
  /** Whether the backend server states that it did not run the request. */
  readonly isNotRun: boolean
  /** Whether a different backend server now has the address. */
  readonly isOtherInstance: boolean
  readonly load: InstanceLoad | undefined
  readonly contentLength: number | undefined
  readonly isEventStream: boolean
  readonly isEncoded: boolean
  /** Set when a peer created the answer itself, because it could not have the request run. */
  readonly relayRefusal?: FinalReason
  /** Id of the backend server from which a peer has the answer. */
  readonly servedBy?: string
  /** Software version of that server. */
  readonly servedByVersion?: string | undefined
}

export type FinalReason =
  | 'badRequest' | 'headerTooLarge' | 'bodyTooLarge' | 'unknownRoute' | 'unknownKey' | 'noConfiguration' | 'staleKeys'
  | 'noInstance' | 'serviceFull' | 'deadlineBeforeSend' | 'deadline' | 'instanceFailed' | 'answerBroken'
  | 'instancesRefused' | 'shuttingDown' | 'crossedAnswer' | 'zoneDrained' | 'backingOff' | 'warmingUp' | 'regionNotAllowed'
  | 'relayLimit' | 'memoryFull' | 'versionGone' | 'versionUnknown' | 'versionUnregistered' | 'promptQuarantined' | 'internalError' | 'unprovenRefusal'
  | 'waitTooLong' | 'overShare' | 'queueFull' | 'repeatedEarly' | 'lessUrgent'

/** A final answer created by the node itself. */
export type GatewayRefusal = {
  readonly status: number
  readonly reason: FinalReason
  /** When to retry, in milliseconds. */
  readonly retryAfterMs?: number
  /** Id and software version of the backend server whose answer it replaces; told to peers only. */
  readonly servedBy?: string
  readonly servedByVersion?: string | undefined
}

/** Writes the final answer to the caller. Nothing may be written after `end`, `fail` or `refuse`. */
export type CallerSink = {
  /** Whether the caller's end of the connection is known to have closed; asked right before every send. */
  readonly hasLeft: () => boolean
  readonly refuse: (refusal: GatewayRefusal) => void
  readonly complete: (answer: InstanceAnswer, body: Uint8Array) => void
  readonly head: (answer: InstanceAnswer) => void
  /** Returns false when the caller reads more slowly than the answer arrives (backpressure). */
  readonly data: (bytes: Uint8Array) => boolean
  /** `readPausedBytes` tells what the connection of the paused exchange holds meanwhile. */
  readonly onDrain: (listener: () => void, readPausedBytes: () => number) => void
  /** Bytes that the answer may hold in the node; unlimited when omitted. */
  readonly readAllowance?: () => number
  /** Sets the size of the part of the answer that waits in the node until it is complete. */
  readonly recordBuffered?: (bytes: number) => void
  readonly end: () => void
  /** Breaks the connection, so that the caller does not take the answer for complete. */
  readonly fail: () => void
}

/** Converts between the wire formats of callers and backend servers and the types of this file. */
export type GatewayDialect = {
  readonly decodeRequest: (raw: RawRequest) => Result<GatewayRequest, GatewayRefusal>
  readonly encodeAttempt: (attempt: GatewayAttempt) => readonly string[]
  /** Encodes the headers of a request as its caller would send it now, so that `decodeRequest` reads the same request on a peer. */
  readonly encodeRequest: (attempt: Pick<RelayAttempt, 'request' | 'remainingMs' | 'resumeAfter'>) => readonly string[]
  readonly decodeAnswer: (status: number, headers: HeaderList) => InstanceAnswer
}

export type RawRequest = {
  readonly method: string
  readonly target: string
  readonly headers: HeaderList
  readonly receivedAt: number
}
