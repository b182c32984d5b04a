/**
 * Client interface of the platform's versioned object API: conditional writes,
 * lists, watches by long polling, and the list of VMs. `docs/INTERFACES.md`
 * describes the HTTP form.
 */
import type { Result } from './result.js'

/** Opaque version of an object; changes with every write. */
export type ObjectVersion = string

export type PlatformObject = {
  readonly name: string
  readonly version: ObjectVersion
  readonly bytes: Uint8Array
}

export type PlatformError =
  /** The condition failed: the object already exists or has another version. Nothing was written. */
  | { readonly kind: 'conflict' }
  /** The platform refused the call or could not be reached. A write certainly had no effect. */
  | { readonly kind: 'unavailable', readonly message: string }
  /** The reply to a write was lost. It may or may not have taken effect. */
  | { readonly kind: 'outcomeUnknown', readonly message: string }
  /** The value exceeds the platform's size limit, or the request was malformed. */
  | { readonly kind: 'rejected', readonly message: string }
  /** A watch requested a revision that the platform no longer has. */
  | { readonly kind: 'revisionGone' }

export type ObjectChange = {
  readonly name: string
  readonly kind: 'put' | 'delete'
  readonly version: ObjectVersion
}

export type ObjectList = {
  readonly objects: readonly { readonly name: string, readonly version: ObjectVersion }[]
  /** Revision of the store at the time of the list, from which a watch can start. */
  readonly revision: number
  /** Name after which to continue, when the list was truncated at its limit. */
  readonly continueAfter?: string
}

export type WatchEvents = {
  readonly revision: number
  readonly changes: readonly ObjectChange[]
}

export type ListOptions = {
  /** Lists only names that sort after this one. */
  readonly after?: string
  /** Maximum number of names; 1,000 by default. */
  readonly limit?: number
}

export type VmState = 'live' | 'leaving'

export type Vm = {
  readonly name: string
  readonly kind: 'router' | 'backendServer'
  /** `host:port` of the peer listener, or the origin of a backend server. */
  readonly address: string
  readonly availabilityZone: string
  readonly state: VmState
}

export type Platform = {
  readonly readObject: (name: string) => Promise<Result<PlatformObject | undefined, PlatformError>>
  readonly createObject: (name: string, bytes: Uint8Array) => Promise<Result<ObjectVersion, PlatformError>>
  readonly updateObject: (name: string, bytes: Uint8Array, expected: ObjectVersion) => Promise<Result<ObjectVersion, PlatformError>>
  readonly deleteObject: (name: string, expected: ObjectVersion) => Promise<Result<undefined, PlatformError>>
  readonly listObjects: (prefix: string, options?: ListOptions) => Promise<Result<ObjectList, PlatformError>>
  /** Waits for a change under `prefix` after `revision`; resolves with no changes at the time-out. */
  readonly watchObjects: (prefix: string, revision: number, timeoutMs: number) => Promise<Result<WatchEvents, PlatformError>>
  readonly listVms: () => Promise<Result<readonly Vm[], PlatformError>>
  readonly close: () => Promise<void>
}
