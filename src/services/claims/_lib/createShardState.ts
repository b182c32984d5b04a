/**
 * One shard's folded records, held in place. `foldClaims` decides each change;
 * this module applies it, and drops what the retention has made void.
 */
import { foldClaims } from '../../../decisions/foldClaims/index.js'
import type { ClaimBatch, ClaimChanges, ClaimRecord } from '../../../decisions/foldClaims/index.js'
import type { ClaimSnapshot } from './codecs.js'

/** Answers kept for one shard; beyond this the oldest are dropped and their repeats are told that the request ran. */
const MAXIMUM_ANSWER_BYTES = 2_000_000

export type ShardState = {
  readonly fold: (batch: ClaimBatch) => void
  readonly findRecord: (keyId: string) => ClaimRecord | undefined
  readonly isReleased: (claimId: string) => boolean
  readonly toSnapshot: (floor: number) => ClaimSnapshot
}

export const createShardState = (snapshot?: ClaimSnapshot): ShardState => {
  const records = new Map<string, ClaimRecord>(snapshot?.records ?? [])
  const releases = new Map<string, number>(snapshot?.releases ?? [])
  let forgetBefore = snapshot?.forgetBefore ?? 0
  /** Keys with an answer, oldest first, and the sum of their bytes. */
  const answerBytes = new Map<string, number>()
  let allAnswerBytes = 0

  const countAnswer = (keyId: string, record: ClaimRecord | undefined): void => {
    allAnswerBytes -= answerBytes.get(keyId) ?? 0
    answerBytes.delete(keyId)
    if (record?.answer === undefined) return
    answerBytes.set(keyId, record.answer.body.byteLength)
    allAnswerBytes += record.answer.body.byteLength
  }

  const removeRecord = (keyId: string): void => {
    countAnswer(keyId, undefined)
    records.delete(keyId)
  }

  const dropOldAnswers = (): void => {
    for (const keyId of answerBytes.keys()) {
      if (allAnswerBytes <= MAXIMUM_ANSWER_BYTES) return
      const record = records.get(keyId)
      if (record !== undefined) records.set(keyId, { ...record, answer: undefined })
      countAnswer(keyId, undefined)
    }
  }

  const apply = (changes: ClaimChanges): void => {
    forgetBefore = changes.forgetBefore
    for (const [claimId, writtenAt] of changes.releases) releases.set(claimId, writtenAt)
    for (const [keyId, record] of changes.records) {
      removeRecord(keyId)
      if (record !== undefined) records.set(keyId, record)
      countAnswer(keyId, record)
    }
  }

  // Entries lie in the order of their writing, so the oldest come first. A
  // writer's slow clock may hide an old one behind a younger one; it stays a
  // little longer in memory, and `findRecord` does not show it.
  const dropForgotten = (): void => {
    for (const [keyId, record] of records) {
      if (record.writtenAt >= forgetBefore) break
      removeRecord(keyId)
    }
    for (const [claimId, writtenAt] of releases) {
      if (writtenAt >= forgetBefore) break
      releases.delete(claimId)
    }
  }

  for (const [keyId, record] of records) countAnswer(keyId, record)

  return {
    fold: (batch) => {
      apply(foldClaims({ forgetBefore, records, releases }, batch))
      dropForgotten()
      dropOldAnswers()
    },
    findRecord: (keyId) => {
      const record = records.get(keyId)
      return record === undefined || record.writtenAt < forgetBefore ? undefined : record
    },
    isReleased: (claimId) => releases.has(claimId),
    toSnapshot: (floor) => ({ floor, forgetBefore, records: [...records], releases: [...releases] })
  }
}
