/** Types of the register of software versions, which lasts beyond the processes of the fleet. */
import type { SourceError } from './gatewayState.js'
import type { Result } from './result.js'

/** A software version of the backend servers of a service. */
export type ServiceVersion = { readonly service: string, readonly softwareVersion: string }

/** A version at which streams may have begun that can still be taken up. */
export type RegisteredVersion = ServiceVersion & {
  /** Whether its entry is about to be removed; before the version is used again, that is revoked. */
  readonly isEnding: boolean
}

/** A stored entry; `version` is omitted when its content is malformed. */
export type StoredVersion = { readonly name: string, readonly revision: number, readonly version?: RegisteredVersion }

/** Outcome of a conditional write; `conflict` when the object exists already, or has another revision, or is gone. */
export type ConditionalWrite = { readonly kind: 'written', readonly revision: number } | { readonly kind: 'conflict' }

/** The platform's store of registered versions. Its reads reflect every write that was acknowledged before them. */
export type VersionStore = {
  readonly list: () => Promise<Result<readonly StoredVersion[], SourceError>>
  readonly create: (name: string, version: RegisteredVersion) => Promise<Result<ConditionalWrite, SourceError>>
  /** Replaces the entry if it still has this revision. */
  readonly update: (name: string, version: RegisteredVersion, revision: number) => Promise<Result<ConditionalWrite, SourceError>>
  /** Removes the entry if it still has this revision. */
  readonly remove: (name: string, revision: number) => Promise<Result<'done' | 'conflict', SourceError>>
}
