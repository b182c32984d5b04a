/** Types of the store that keeps at which software versions streams began, beyond the processes of the fleet. */
import type { SourceError } from './gatewayState.js'
import type { Result } from './result.js'

/**
 * Streams of a service that began at one software version. `ids` has the shortened id (`shortenId`) of the request in which
 * each began, one after the other: a list of as many texts would take tens of milliseconds to read.
 */
export type StreamBeginRecord = { readonly service: string, readonly softwareVersion: string, readonly ids: string }

/** A stored object. `revision` is that of its last change; omitted for one that is to be created. */
export type StreamBeginBatch = { readonly name: string, readonly revision?: number, readonly records: readonly StreamBeginRecord[] }

/** Outcome of a conditional write; `conflict` when the object exists already, is gone, or has another revision, which is stated where there is one. */
export type StreamBeginWrite = { readonly kind: 'written', readonly revision: number } | { readonly kind: 'conflict', readonly revision?: number }

export type StreamBeginStore = {
  /** Reads all objects; malformed ones are left out. */
  readonly list: () => Promise<Result<readonly StreamBeginBatch[], SourceError>>
  /** Creates the object, or replaces it if it still has the stated revision. */
  readonly write: (batch: StreamBeginBatch) => Promise<Result<StreamBeginWrite, SourceError>>
}
