/**
 * A request as the caller sent it, the answer of a backend server, and the
 * final answer to the caller. Adapters convert these types from and to HTTP.
 */
import type { Result } from './result.js'

/**
 * Lower-case header names; a repeated header has its values joined by a comma.
 * Only `set-cookie` is joined by line feeds, since its values hold commas.
 */
export type Headers = Readonly<Record<string, string>>

export type CallerRequest = {
  readonly requestId: string
  readonly method: string
  /** Path with query, as the caller sent it. */
  readonly path: string
  readonly headers: Headers
  readonly body: Uint8Array
  /** Bearer key, if the caller sent one. */
  readonly credential?: string
}

export type RefusalOutcome = 'not-run' | 'unknown'

export type RefusalReason =
  | 'badRequest' | 'unauthorized' | 'unknownModel' | 'unknownRoute' | 'bodyTooLarge'
  | 'idempotencyKeyMissing' | 'idempotencyKeyReused' | 'noConfiguration' | 'noBackendServer'
  | 'overShare' | 'queueFull' | 'repeatedEarly' | 'lessUrgent' | 'deadline' | 'platformUnavailable' | 'backendFailed'
  | 'answerIncomplete' | 'claimedElsewhere' | 'cancelled'

/** The final answer when there is no complete one. States whether the request may have run. */
export type Refusal = {
  readonly outcome: RefusalOutcome
  readonly reason: RefusalReason
  readonly message: string
  /** HTTP status returned to the caller. */
  readonly status: number
  /** When to retry, in milliseconds; omitted when a retry does not help. */
  readonly retryAfterMs?: number
}

export type AnswerPart =
  | { readonly kind: 'data', readonly bytes: Uint8Array }
  | { readonly kind: 'end' }
  | { readonly kind: 'failed', readonly refusal: Refusal }

export type CallerAnswer =
  | { readonly kind: 'whole', readonly status: number, readonly headers: Headers, readonly body: Uint8Array }
  | { readonly kind: 'stream', readonly status: number, readonly headers: Headers, readonly parts: AsyncIterable<AnswerPart> }
  | { readonly kind: 'refused', readonly refusal: Refusal }

export type BackendRequest = {
  readonly requestId: string
  readonly url: string
  readonly method: string
  readonly path: string
  readonly headers: Headers
  readonly body: Uint8Array
  /** Milliseconds remaining until the caller's deadline. */
  readonly timeoutMs: number
}

export type BackendError =
  /** No byte of the request was written, so it was certainly not run. */
  | { readonly kind: 'notSent', readonly message: string }
  /** The request was written, at least in part; it may have run. */
  | { readonly kind: 'noAnswer', readonly message: string }
  /** Aborted by the signal after it was written, at least in part. Aborted earlier, it is `notSent`. */
  | { readonly kind: 'cancelled' }

export type BackendBodyPart =
  | { readonly kind: 'data', readonly bytes: Uint8Array }
  | { readonly kind: 'end' }
  /** The connection failed, or the body ended short of its declared length. */
  | {
    readonly kind: 'cut'
    readonly message: string
    /** Set when the body was cut off by the idle time-out. */
    readonly isIdle?: boolean
  }

export type BackendAnswer = {
  readonly status: number
  readonly headers: Headers
  /** Ends with exactly one `end` or `cut` part; never throws. */
  readonly body: AsyncIterable<BackendBodyPart>
  /** Closes the connection, so that an answer that is unwanted or belongs to another request is not forwarded. */
  readonly abort: () => void
}

/** Load that a backend server reports of itself; the figures lag. */
export type LoadReport = {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  readonly leaving: boolean
  /** Age of the figures in milliseconds. */
  readonly ageMs: number
}

export type BackendClient = {
  readonly send: (request: BackendRequest, signal: AbortSignal) => Promise<Result<BackendAnswer, BackendError>>
  readonly readLoad: (url: string, timeoutMs: number) => Promise<Result<LoadReport, BackendError>>
  readonly close: () => Promise<void>
}
