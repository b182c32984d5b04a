/**
 * Folds the claim log into claim records. A shard of the log is a sequence of
 * batches that every node folds in the same order into the same records. A node
 * that finds its own claim id in a record therefore knows that all nodes see the
 * same holder.
 */
import type { StoredAnswer } from '../../types/index.js'

/** Requests the exclusive right to send the request of an idempotency key. */
export type ClaimRequestEntry = {
  readonly kind: 'claim'
  readonly keyId: string
  /** Unique to one attempt, which distinguishes a duplicate entry from a competing claim. */
  readonly claimId: string
  readonly bodyHash: string
  readonly holder: string
}

/** States that the claimant has not sent and never will send the request under this claim id. */
export type ClaimReleaseEntry = { readonly kind: 'release', readonly keyId: string, readonly claimId: string }

/** Completes a claim with its final answer, which is absent when it was too large to store. */
export type ClaimCompletionEntry = {
  readonly kind: 'completion'
  readonly keyId: string
  readonly claimId: string
  readonly answer?: StoredAnswer | undefined
}

export type ClaimEntry = ClaimRequestEntry | ClaimReleaseEntry | ClaimCompletionEntry

export type ClaimBatch = {
  /** Unique to one batch, so that a writer recognises its own batch after a lost reply. */
  readonly batchId: string
  /** Wall-clock time of the writer in milliseconds since 1970. */
  readonly writtenAt: number
  /** Claims that were written before this wall-clock time have expired. */
  readonly forgetBefore: number
  readonly entries: readonly ClaimEntry[]
}

export type ClaimRecord = {
  readonly claimId: string
  readonly bodyHash: string
  readonly holder: string
  readonly writtenAt: number
  readonly state: 'open' | 'complete'
  readonly answer?: StoredAnswer | undefined
}

/** The state of a shard after all batches so far. */
export type ClaimState = {
  readonly forgetBefore: number
  readonly records: ReadonlyMap<string, ClaimRecord>
  /** Released claim ids, with the time at which the release was written. */
  readonly releases: ReadonlyMap<string, number>
}

/** The changes of one batch; a record that is `undefined` is deleted. */
export type ClaimChanges = {
  readonly forgetBefore: number
  readonly records: ReadonlyMap<string, ClaimRecord | undefined>
  readonly releases: ReadonlyMap<string, number>
}

type Draft = {
  readonly batch: ClaimBatch
  readonly forgetBefore: number
  readonly records: Map<string, ClaimRecord | undefined>
  readonly releases: Map<string, number>
  readonly findRecord: (keyId: string) => ClaimRecord | undefined
  readonly isReleased: (claimId: string) => boolean
}

/**
 * Folds one batch into the state of its shard.
 *
 * The first claim of a key holds it; later ones have no effect. A release
 * voids its claim id permanently, even when it is written before the claim: a
 * claim whose reply was lost may reach the log after its claimant released it,
 * and would otherwise block the key for the whole retention.
 *
 * @param state - The state after all earlier batches; it is not modified.
 * @param batch - The next batch of the same shard.
 * @returns The changes to apply to `state`; times are wall-clock milliseconds since 1970.
 *
 * @example
 * const state = { forgetBefore: 0, records: new Map(), releases: new Map() }
 * const entry = { kind: 'claim', keyId: 'a', claimId: '1', bodyHash: 'h', holder: 'r1' }
 * foldClaims(state, { batchId: 'b', writtenAt: 5, forgetBefore: 0, entries: [entry] }).records.get('a').claimId // => '1'
 */
export const foldClaims = (state: ClaimState, batch: ClaimBatch): ClaimChanges => {
  const forgetBefore = Math.max(state.forgetBefore, batch.forgetBefore)
  const records = new Map<string, ClaimRecord | undefined>()
  const releases = new Map<string, number>()
  const findRecord = (keyId: string): ClaimRecord | undefined => {
    const record = records.has(keyId) ? records.get(keyId) : state.records.get(keyId)
    return record === undefined || record.writtenAt < forgetBefore ? undefined : record
  }
  const isReleased = (claimId: string): boolean => releases.has(claimId) || state.releases.has(claimId)
  const draft: Draft = { batch, forgetBefore, records, releases, findRecord, isReleased }
  for (const entry of batch.entries) foldEntry(draft, entry)
  return { forgetBefore, records, releases }
}

const foldEntry = (draft: Draft, entry: ClaimEntry): void => {
  const fold = foldByKind[entry.kind] as (draft: Draft, entry: ClaimEntry) => void
  fold(draft, entry)
}

const foldClaim = (draft: Draft, entry: ClaimRequestEntry): void => {
  if (draft.batch.writtenAt < draft.forgetBefore) return
  if (draft.isReleased(entry.claimId)) return
  if (draft.findRecord(entry.keyId) !== undefined) return
  const { claimId, bodyHash, holder } = entry
  draft.records.set(entry.keyId, { claimId, bodyHash, holder, writtenAt: draft.batch.writtenAt, state: 'open' })
}

const foldRelease = (draft: Draft, entry: ClaimReleaseEntry): void => {
  const record = draft.findRecord(entry.keyId)
  if (record?.claimId === entry.claimId && record.state === 'complete') return
  draft.releases.set(entry.claimId, draft.batch.writtenAt)
  if (record?.claimId === entry.claimId) draft.records.set(entry.keyId, undefined)
}

const foldCompletion = (draft: Draft, entry: ClaimCompletionEntry): void => {
  const record = draft.findRecord(entry.keyId)
  if (record?.claimId !== entry.claimId || record.state === 'complete') return
  draft.records.set(entry.keyId, { ...record, state: 'complete', answer: entry.answer })
}

const foldByKind = { claim: foldClaim, release: foldRelease, completion: foldCompletion }
