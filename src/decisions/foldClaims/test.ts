import { describe, expect, it } from 'vitest'
import { foldClaims } from './index.js'
import type { ClaimBatch, ClaimEntry, ClaimRecord } from './index.js'

const createClaim = (claimId: string, bodyHash = 'hash'): ClaimEntry => ({ kind: 'claim', keyId: 'key', claimId, bodyHash, holder: `holder of ${claimId}` })
const createRelease = (claimId: string): ClaimEntry => ({ kind: 'release', keyId: 'key', claimId })
const createCompletion = (claimId: string): ClaimEntry => ({ kind: 'completion', keyId: 'key', claimId })

const createBatch = (entries: readonly ClaimEntry[], writtenAt = 100, forgetBefore = 0): ClaimBatch => ({ batchId: 'batch', writtenAt, forgetBefore, entries })

const foldAll = (batches: readonly ClaimBatch[]): ClaimRecord | undefined => {
  const records = new Map<string, ClaimRecord>()
  const releases = new Map<string, number>()
  let forgetBefore = 0
  for (const batch of batches) {
    const changes = foldClaims({ forgetBefore, records, releases }, batch)
    forgetBefore = changes.forgetBefore
    for (const [claimId, at] of changes.releases) releases.set(claimId, at)
    for (const [keyId, record] of changes.records) {
      if (record === undefined) records.delete(keyId)
      else records.set(keyId, record)
    }
  }
  const record = records.get('key')
  return record !== undefined && record.writtenAt >= forgetBefore ? record : undefined
}

describe('foldClaims', () => {
  it.each<[story: string, entries: readonly ClaimEntry[], holder: string | undefined, state: string | undefined]>([
    ['gives a key to its first claim', [createClaim('a'), createClaim('b')], 'a', 'open'],
    ['gives a released key to the next claim', [createClaim('a'), createRelease('a'), createClaim('b')], 'b', 'open'],
    ['ignores the release of a claim that holds nothing', [createClaim('a'), createClaim('b'), createRelease('b')], 'a', 'open'],
    ['voids a claim that arrives after its release', [createRelease('a'), createClaim('a'), createClaim('b')], 'b', 'open'],
    ['voids a duplicate of a released claim', [createClaim('a'), createRelease('a'), createClaim('a')], undefined, undefined],
    ['ignores a duplicate of the holding claim', [createClaim('a'), createCompletion('a'), createClaim('a')], 'a', 'complete'],
    ['ignores the completion of a claim that holds nothing', [createClaim('a'), createCompletion('b')], 'a', 'open'],
    ['keeps a completed key despite later claims', [createClaim('a'), createCompletion('a'), createClaim('b')], 'a', 'complete'],
    ['keeps a completed key despite a release', [createClaim('a'), createCompletion('a'), createRelease('a'), createClaim('b')], 'a', 'complete']
  ])('%s', (_story, entries, holder, state) => {
    const inOneBatch = foldAll([createBatch(entries)])
    const inManyBatches = foldAll(entries.map((entry) => createBatch([entry])))
    expect(inOneBatch).toEqual(inManyBatches)
    expect(inOneBatch?.claimId).toBe(holder)
    expect(inOneBatch?.state).toBe(state)
  })

  it('keeps a claim until the end of the retention', () => {
    expect(foldAll([createBatch([createClaim('a')], 100), createBatch([createClaim('b')], 200, 100)])?.claimId).toBe('a')
  })

  it('drops a claim after the retention', () => {
    expect(foldAll([createBatch([createClaim('a')], 100), createBatch([createClaim('b')], 200, 101)])?.claimId).toBe('b')
  })

  it('ignores a claim in a batch that is itself past the retention', () => {
    expect(foldAll([createBatch([], 200, 101), createBatch([createClaim('a')], 100)])).toBeUndefined()
  })

  it('does not restore an expired claim when the clock of a writer is behind', () => {
    const batches = [createBatch([createClaim('a')], 100), createBatch([], 200, 101), createBatch([createClaim('b')], 150, 50)]
    expect(foldAll(batches)?.claimId).toBe('b')
  })
})
