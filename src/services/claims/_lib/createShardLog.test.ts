import { describe, expect, it } from 'vitest'
import type { ClaimEntry } from '../../../decisions/foldClaims/index.js'
import { createSeededRandom } from '../../../adapters/seededRandom/index.js'
import { createManualClock } from '../../../emulator/createManualClock/index.js'
import { createMemoryPlatform } from '../../../emulator/createMemoryPlatform/index.js'
import type { Platform } from '../../../types/index.js'
import { batchCodec } from './codecs.js'
import type { ClaimSnapshot } from './codecs.js'
import { createShardLog } from './createShardLog.js'
import type { ShardLog } from './createShardLog.js'
import { formatBatchName, formatFloorName, formatPartPrefix, formatSnapshotName } from './objectNames.js'
import { pruneShard } from './pruneShard.js'
import { readSnapshot } from './snapshots.js'

const SHARD = 0

const createClaim = (keyId: string, claimId: string): ClaimEntry => ({ kind: 'claim', keyId, claimId, bodyHash: 'hash', holder: claimId })

const createLogs = () => {
  const clock = createManualClock(1_700_000_000_000)
  const platform = createMemoryPlatform(clock)
  const random = createSeededRandom(1)
  const logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
  const createLog = (): ShardLog => createShardLog({ clock, random, platform, logger }, SHARD, { retentionMs: 3_600_000 })
  return { platform, createLog }
}

const prune = (platform: Platform, snapshot: ClaimSnapshot) => pruneShard({ platform, random: createSeededRandom(2), shard: SHARD, keptBatches: 0 }, snapshot)

const strayBatch = batchCodec.encode({ batchId: 'stray', writtenAt: 1_700_000_000_000, forgetBefore: 0, entries: [createClaim('other key', 'stray')] })

describe('createShardLog', () => {
  // Otherwise a stray batch in the place of a pruned one would be read as the original, and a key granted twice.
  it('does not use a stray batch in the place of a pruned one', async () => {
    const { platform, createLog } = createLogs()
    const behind = createLog()
    const ahead = createLog()
    await behind.append([createClaim('first key', 'behind')])
    await ahead.append([createClaim('order', 'ahead')])
    await prune(platform, ahead.toSnapshot()!)
    await ahead.append([createClaim('later key', 'ahead')])
    expect((await platform.createObject(formatBatchName(SHARD, 1), strayBatch)).ok).toBe(true)
    await behind.append([createClaim('order', 'behind')])
    expect(behind.findRecord('order')?.claimId).toBe('ahead')
  })

  it('deletes no batch while the floor is not confirmed', async () => {
    const { platform, createLog } = createLogs()
    const log = createLog()
    await log.append([createClaim('order', 'log')])
    const withoutFloor = { ...platform, createObject: async (name: string, bytes: Uint8Array) => name === formatFloorName(SHARD) ? { ok: false, error: { kind: 'outcomeUnknown', message: '' } } as const : platform.createObject(name, bytes) }
    expect(await prune(withoutFloor, log.toSnapshot()!)).toBe('failed')
    expect(await platform.readObject(formatBatchName(SHARD, 0))).toMatchObject({ value: { name: formatBatchName(SHARD, 0) } })
  })

  it('never replaces a snapshot by an older one', async () => {
    const { platform, createLog } = createLogs()
    const log = createLog()
    await log.append([createClaim('order', 'log')])
    const older = log.toSnapshot()!
    await log.append([createClaim('later key', 'log')])
    await prune(platform, log.toSnapshot()!)
    await prune(platform, older)
    const late = createLog()
    await late.synchronize()
    expect(late.findRecord('later key')?.claimId).toBe('log')
  })

  it('stores a snapshot that is larger than one object', async () => {
    const { platform, createLog } = createLogs()
    const log = createLog()
    for (let batch = 0; batch < 10; batch += 1) {
      await log.append(Array.from({ length: 1_000 }, (_, index) => createClaim(`key ${batch}-${index} ${'of a long name '.repeat(10)}`, 'log')))
    }
    expect(await prune(platform, log.toSnapshot()!)).toBe('pruned')
    const late = createLog()
    expect((await late.synchronize()).ok).toBe(true)
    expect(late.findRecord(`key 0-0 ${'of a long name '.repeat(10)}`)?.claimId).toBe('log')
    expect(late.findRecord(`key 9-999 ${'of a long name '.repeat(10)}`)?.claimId).toBe('log')
  })

  it('leaves no parts of older snapshots behind', async () => {
    const { platform, createLog } = createLogs()
    const log = createLog()
    for (let round = 0; round < 3; round += 1) {
      await log.append([createClaim(`key ${round}`, 'log')])
      await prune(platform, log.toSnapshot()!)
    }
    const parts = await platform.listObjects(formatPartPrefix(SHARD))
    expect(parts.ok && parts.value.objects.length).toBe(1)
  })

  it('reads the next snapshot when the one it reads is replaced', async () => {
    const { platform, createLog } = createLogs()
    const log = createLog()
    await log.append([createClaim('order', 'log')])
    await prune(platform, log.toSnapshot()!)
    let isReplaced = false
    const racing: Platform = {
      ...platform,
      readObject: async (name) => {
        if (name.startsWith(formatPartPrefix(SHARD)) && !isReplaced) {
          isReplaced = true
          await log.append([createClaim('later key', 'log')])
          await prune(platform, log.toSnapshot()!)
        }
        return await platform.readObject(name)
      }
    }
    const snapshot = await readSnapshot(racing, SHARD)
    expect(snapshot.ok && snapshot.value?.records.map(([keyId]) => keyId)).toEqual(['order', 'later key'])
  })

  it('drops the oldest answers beyond the size limit and still records that the requests ran', async () => {
    const { createLog } = createLogs()
    const log = createLog()
    const answer = { status: 201, headers: {}, body: new Uint8Array(300_000) }
    for (let index = 0; index < 10; index += 1) {
      await log.append([createClaim(`key ${index}`, `claim ${index}`), { kind: 'completion', keyId: `key ${index}`, claimId: `claim ${index}`, answer }])
    }
    expect(log.findRecord('key 0')).toMatchObject({ state: 'complete', answer: undefined })
    expect(log.findRecord('key 9')?.answer?.body.byteLength).toBe(300_000)
  })

  it('folds nothing from a damaged batch', async () => {
    const { platform, createLog } = createLogs()
    await platform.createObject(formatBatchName(SHARD, 0), new Uint8Array([1, 2, 3]))
    expect(await createLog().append([createClaim('order', 'log')])).toMatchObject({ ok: false })
  })

  it('folds nothing onto a damaged snapshot', async () => {
    const { platform, createLog } = createLogs()
    await platform.createObject(formatSnapshotName(SHARD), new Uint8Array([1, 2, 3]))
    expect(await createLog().append([createClaim('order', 'log')])).toMatchObject({ ok: false, error: { kind: 'notWritten' } })
  })

  it('reads more batches than the maximum number of append attempts', async () => {
    const { createLog } = createLogs()
    const writer = createLog()
    for (let index = 0; index < 200; index += 1) await writer.append([createClaim(`key ${index}`, 'writer')])
    const late = createLog()
    expect((await late.append([createClaim('order', 'late')])).ok).toBe(true)
    expect(late.findRecord('key 199')?.claimId).toBe('writer')
  })
})
