/**
 * Queues the entries of one shard and commits them in batches, one at a time and at most
 * one in each flush interval, so that the write rate at the platform does not grow with
 * the request rate.
 */
import { failure, success } from '../../../kernel/index.js'
import type { ClaimEntry, ClaimRecord } from '../../../decisions/foldClaims/index.js'
import type { Clock, Platform, RandomSource, Result } from '../../../types/index.js'
import type { ShardLog, ShardLogError } from './createShardLog.js'
import { pruneShard } from './pruneShard.js'
import type { PlatformGate } from './createPlatformGate.js'

const MAXIMUM_BATCH_ENTRIES = 500

/** Keeps a batch with answers far below the platform's limit of a megabyte. */
const MAXIMUM_BATCH_BYTES = 400_000

/** Beyond this length entries are refused: a queue that does not drain helps no caller. */
const MAXIMUM_QUEUED_ENTRIES = 10_000

/** Each pruning writes the complete snapshot, so its interval grows by one `pruneEvery` for this many records. */
const RECORDS_PER_INTERVAL = 10_000

/** The record of the entry's key after the entry was written to the log. */
export type EntryResult = { readonly record?: ClaimRecord | undefined }

export type ShardQueue = {
  readonly submit: (entry: ClaimEntry) => Promise<Result<EntryResult, ShardLogError>>
  readonly findRecord: (keyId: string) => ClaimRecord | undefined
  readonly isIdle: () => boolean
}

export type ShardQueueDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly platform: Platform
  readonly gate: PlatformGate
  readonly log: ShardLog
}

export type ShardQueueOptions = {
  readonly shard: number
  readonly flushIntervalMs: number
  /** Batches after which the shard is folded into its snapshot. */
  readonly pruneEvery: number
  readonly keptBatches: number
  readonly isPruner: () => boolean
}

type QueuedEntry = {
  readonly entry: ClaimEntry
  readonly settle: (result: Result<EntryResult, ShardLogError>) => void
}

const measureEntry = (entry: ClaimEntry): number =>
  entry.keyId.length + (entry.kind === 'completion' ? entry.answer?.body.byteLength ?? 0 : 0)

/**
 * Creates the queue in front of one shard's log.
 *
 * @param dependencies - Clock, platform, gate and the shard's log.
 * @param options - Shard number, flush interval in milliseconds, pruning.
 * @returns The queue; it starts with the first entry and needs no stop.
 */
export const createShardQueue = (dependencies: ShardQueueDependencies, options: ShardQueueOptions): ShardQueue => {
  const { clock, random, platform, gate, log } = dependencies
  let queued: QueuedEntry[] = []
  let isFlushing = false
  let isScheduled = false
  let isPruning = false
  let lastFlushAt = -Infinity
  let prunedThrough: number | undefined
  let batchesBetweenPrunings = options.pruneEvery

  const takeBatch = (): readonly QueuedEntry[] => {
    let bytes = 0
    let count = 0
    for (const { entry } of queued) {
      bytes += measureEntry(entry)
      if (count > 0 && (bytes > MAXIMUM_BATCH_BYTES || count >= MAXIMUM_BATCH_ENTRIES)) break
      count += 1
    }
    const batch = queued.slice(0, count)
    queued = queued.slice(count)
    return batch
  }

  const isHeldByOther = (entry: ClaimEntry): boolean => {
    const record = log.findRecord(entry.keyId)
    return record !== undefined && record.claimId !== entry.claimId
  }

  /** Skips claims whose key another claim holds: once the log has been read to its end, they need no write. */
  const commit = async (entries: readonly ClaimEntry[]): Promise<Result<undefined, ShardLogError>> => {
    const released = new Set(entries.filter((entry) => entry.kind === 'release').map((entry) => entry.keyId))
    const isBlocked = (entry: ClaimEntry): boolean => entry.kind === 'claim' && !released.has(entry.keyId) && isHeldByOther(entry)
    if (entries.some(isBlocked)) {
      const synchronized = await log.synchronize()
      if (!synchronized.ok) return synchronized
    }
    const needed = entries.filter((entry) => !isBlocked(entry))
    return needed.length === 0 ? success(undefined) : await log.append(needed)
  }

  const prune = async (): Promise<void> => {
    if (isPruning || !options.isPruner()) return
    prunedThrough ??= Math.max(0, log.nextSequence() - options.pruneEvery)
    if (log.nextSequence() - prunedThrough < batchesBetweenPrunings) return
    const snapshot = log.toSnapshot()
    if (snapshot === undefined) return
    isPruning = true
    prunedThrough = snapshot.floor
    batchesBetweenPrunings = options.pruneEvery * Math.max(1, Math.ceil(snapshot.records.length / RECORDS_PER_INTERVAL))
    await pruneShard({ platform, random, shard: options.shard, keptBatches: options.keptBatches }, snapshot)
    isPruning = false
  }

  const settleBatch = (batch: readonly QueuedEntry[], result: Result<undefined, ShardLogError>): void => {
    for (const { entry, settle } of batch) {
      settle(result.ok ? success({ record: log.findRecord(entry.keyId) }) : failure(result.error))
    }
  }

  const flush = async (): Promise<void> => {
    isScheduled = false
    isFlushing = true
    lastFlushAt = clock.now()
    const batch = takeBatch()
    const result = await commit(batch.map(({ entry }) => entry))
    gate.record(result.ok)
    settleBatch(batch, result)
    if (result.ok) prune()
    isFlushing = false
    schedule()
  }

  const schedule = (): void => {
    if (isFlushing || isScheduled || queued.length === 0) return
    isScheduled = true
    const delay = Math.max(0, lastFlushAt + options.flushIntervalMs - clock.now())
    clock.setTimer(delay, () => { flush() })
  }

  return {
    submit: (entry) => new Promise((resolve) => {
      if (queued.length >= MAXIMUM_QUEUED_ENTRIES) {
        resolve(failure({ kind: 'notWritten', message: 'too many claims are waiting for the platform' }))
        return
      }
      queued.push({ entry, settle: resolve })
      schedule()
    }),
    findRecord: (keyId) => log.findRecord(keyId),
    isIdle: () => !isFlushing && !isPruning && queued.length === 0
  }
}
