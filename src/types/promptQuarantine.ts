/** Types of what nodes know of prompt parts under which backend servers end, and of where that is stored. */
import type { SourceError } from './gatewayState.js'
import type { Result } from './result.js'
import type { ConditionalWrite } from './versionRegister.js'

export type PromptPartKey = { readonly service: string, readonly part: string }

/** Requests of a service that ended lately: with a complete answer, or with their backend server. */
export type RequestCounts = { readonly complete: number, readonly broken: number }

/** A prompt part whose requests are refused, except for single trials. */
export type QuarantinedPart = PromptPartKey & {
  /** Backend servers (`id@incarnation`) that ended under requests with the part. */
  readonly servers: readonly string[]
  /** Number of these that had ended when the quarantine began. */
  readonly endsAtFirst: number
  /** Number of requests that were sent as a trial. */
  readonly trials: number
}

/** A quarantined part as one node tells another. */
export type QuarantineNotice = QuarantinedPart & {
  /** Milliseconds since the last of the servers ended. */
  readonly lastEndAgeMs: number
}

/** A stored object; `part` is omitted when its content is malformed. */
export type StoredQuarantine = { readonly name: string, readonly revision: number, readonly part?: QuarantinedPart }

export type QuarantineChange = StoredQuarantine & { readonly isRemoved: boolean }

/** The platform's store of quarantined parts, which lasts beyond the processes of the fleet. */
export type QuarantineStore = {
  readonly list: () => Promise<Result<{ readonly entries: readonly StoredQuarantine[], readonly revision: number }, SourceError>>
  /** Waits up to `waitMs` for changes after `revision`. */
  readonly watch: (revision: number, waitMs: number) => Promise<Result<{ readonly changes: readonly QuarantineChange[], readonly revision: number }, SourceError>>
  readonly create: (name: string, part: QuarantinedPart) => Promise<Result<ConditionalWrite, SourceError>>
  /** Replaces the object if it still has this revision. */
  readonly update: (name: string, part: QuarantinedPart, revision: number) => Promise<Result<ConditionalWrite, SourceError>>
  /** Removes the object; succeeds also when there is none. */
  readonly remove: (name: string) => Promise<Result<undefined, SourceError>>
}
