/**
 * Holds the folded records of one shard in memory. `foldClaims` computes each change; this
 * module applies it in place and drops records whose retention has ended.
 */
import { foldClaims } from '../../../decisions/foldClaims/index.js'
import type { ClaimBatch, ClaimChanges, ClaimRecord } from '../../../decisions/foldClaims/index.js'
import type { ClaimSnapshot } from './codecs.js'

/** Total size of the answers kept for one shard; beyond it the oldest are dropped, and the answer to a duplicate request states only that the request ran. */
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
  /** Size of each key's answer, oldest first. */
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

  // Entries are in the order of their writing, so the oldest come first. With a
  // writer whose clock is slow, an old entry may follow a newer one; it then stays
  // a little longer in memory, and `findRecord` does not return it.
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
