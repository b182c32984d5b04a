/**
 * One shard of the claim log in the platform: reading, appending, pruning.
 *
 * A batch is created only where none exists, so two writers cannot both write
 * number n. Pruning alone would break that guarantee: a writer that is paused
 * before it creates number n may resume after another writer wrote n and n was
 * folded into a snapshot and deleted. Its create succeeds, and it would take
 * itself for the holder of a claim that another node was granted long ago. A
 * node that reads n at that moment would also fold the stray batch as if it
 * were the original one.
 *
 * The floor object prevents this. The pruner first commits the snapshot, then
 * raises the floor, and deletes batches below the floor only after that is
 * confirmed. So if number n was ever deleted, a read of the floor that starts
 * afterwards returns more than n. Every read and every append of the log ends
 * with such a read of the floor. With a floor at or below the first number
 * folded since the last check, nothing that was folded or created can have
 * taken the place of a deleted batch. With a higher floor, all state is dropped
 * and loaded again from the snapshot, and the batch is appended again; folding
 * it twice changes nothing. The argument needs no clocks and no time-outs: a
 * writer may be paused at any step for any time.
 */
import { failure, success } from '../../../kernel/index.js'
import type { ClaimBatch, ClaimEntry, ClaimRecord } from '../../../decisions/foldClaims/index.js'
import type { Clock, Logger, Platform, RandomSource, Result } from '../../../types/index.js'
import { batchCodec, floorCodec } from './codecs.js'
import type { ClaimSnapshot } from './codecs.js'
import { createShardState } from './createShardState.js'
import type { ShardState } from './createShardState.js'
import { formatBatchName, formatFloorName } from './objectNames.js'
import { readSnapshot } from './snapshots.js'

/** More lost races than this in one append indicate another fault. */
const MAXIMUM_APPEND_ATTEMPTS = 64

export type ShardLogError =
  /** Nothing of the batch can be in the log. */
  | { readonly kind: 'notWritten', readonly message: string }
  /** The batch may be in the log, or may still arrive there. */
  | { readonly kind: 'outcomeUnknown', readonly message: string }

export type ShardLogDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly platform: Platform
  readonly logger: Logger
}

export type ShardLogOptions = { readonly retentionMs: number }

/** Operations of one log must not run concurrently. */
export type ShardLog = {
  /** Folds the batches that others wrote since the last call. */
  readonly synchronize: () => Promise<Result<undefined, ShardLogError>>
  /** Writes the entries as one batch and folds it; afterwards the records show the result. */
  readonly append: (entries: readonly ClaimEntry[]) => Promise<Result<undefined, ShardLogError>>
  readonly findRecord: (keyId: string) => ClaimRecord | undefined
  readonly isReleased: (claimId: string) => boolean
  /** The first number that is not folded yet. */
  readonly nextSequence: () => number
  /** The folded state; `undefined` while part of it is not checked against the floor. */
  readonly toSnapshot: () => ClaimSnapshot | undefined
}

type Step = Result<'found' | 'absent', ShardLogError>

/**
 * Creates the reader and writer of one shard. Nothing is read before the first call.
 *
 * @param dependencies - Clock, random source, platform and logger.
 * @param shard - Shard number.
 * @param options - How long claims are kept, in milliseconds.
 * @returns The shard's log.
 */
export const createShardLog = (dependencies: ShardLogDependencies, shard: number, options: ShardLogOptions): ShardLog => {
  const { clock, random, platform, logger } = dependencies
  let state: ShardState = createShardState()
  let isLoaded = false
  /** The next number to read or create. */
  let next = 0
  /** Every number below this one is known to be folded from its original batch. */
  let verifiedThrough = 0
  /** Id of this node's own batch during an append, to recognise it among the batches that are read. */
  let ownBatchId: string | undefined
  let isOwnBatchFolded = false

  const load = async (): Promise<Result<undefined, ShardLogError>> => {
    if (isLoaded) return success(undefined)
    const read = await readSnapshot(platform, shard)
    if (!read.ok) return failure(notWritten(`the snapshot of claim shard ${shard} ${read.error}`))
    const snapshot = read.value
    state = createShardState(snapshot)
    next = snapshot?.floor ?? 0
    verifiedThrough = next
    isLoaded = true
    return success(undefined)
  }

  const readNext = async (): Promise<Step> => {
    const read = await platform.readObject(formatBatchName(shard, next))
    if (!read.ok) return failure(notWritten(`claim batch ${next} of shard ${shard} cannot be read: ${read.error.kind}`))
    if (read.value === undefined) return success('absent')
    const batch = batchCodec.decode(read.value.bytes)
    if (batch === undefined) return failure(notWritten(`claim batch ${next} of shard ${shard} is damaged`))
    fold(batch)
    return success('found')
  }

  const fold = (batch: ClaimBatch): void => {
    state.fold(batch)
    next += 1
    if (batch.batchId === ownBatchId) isOwnBatchFolded = true
  }

  const readToEnd = async (): Promise<Result<undefined, ShardLogError>> => {
    for (;;) {
      const step = await readNext()
      if (!step.ok) return step
      if (step.value === 'absent') return success(undefined)
    }
  }

  /** Returns false, and drops the state, when pruning may have affected what was folded. */
  const verifyAgainstFloor = async (): Promise<Result<boolean, ShardLogError>> => {
    const read = await platform.readObject(formatFloorName(shard))
    if (!read.ok) return failure(outcomeUnknown(`the floor of claim shard ${shard} cannot be read: ${read.error.kind}`))
    const floor = read.value === undefined ? { floor: 0 } : floorCodec.decode(read.value.bytes)
    if (floor === undefined) return failure(outcomeUnknown(`the floor of claim shard ${shard} is damaged`))
    if (floor.floor <= verifiedThrough) {
      verifiedThrough = next
      return success(true)
    }
    logger.info('claim shard was pruned beyond the position of this node, loading its snapshot', { shard, next, floor: floor.floor })
    isLoaded = false
    return success(false)
  }

  const synchronize = async (): Promise<Result<undefined, ShardLogError>> => {
    for (let attempt = 0; attempt < MAXIMUM_APPEND_ATTEMPTS; attempt += 1) {
      const loaded = await load()
      if (!loaded.ok) return loaded
      const end = await readToEnd()
      if (!end.ok) return end
      const verified = await verifyAgainstFloor()
      if (!verified.ok) return verified
      if (verified.value) return success(undefined)
    }
    return failure(notWritten(`claim shard ${shard} is pruned faster than it can be read`))
  }

  /** Tries to write the batch at the end of the log, as this node sees it. */
  const writeAtEnd = async (batch: ClaimBatch, bytes: Uint8Array): Promise<Result<undefined, ShardLogError>> => {
    let mayBeWritten = false
    const toError = (message: string): ShardLogError => mayBeWritten ? outcomeUnknown(message) : notWritten(message)
    for (let attempt = 0; attempt < MAXIMUM_APPEND_ATTEMPTS; attempt += 1) {
      const created = await platform.createObject(formatBatchName(shard, next), bytes)
      if (created.ok) {
        fold(batch)
        return success(undefined)
      }
      if (created.error.kind === 'unavailable' || created.error.kind === 'rejected') return failure(toError(created.error.message))
      // The reply was lost: the batch may be there, or arrive later. It can only
      // ever take this number, so reading the number back and, where it is free,
      // creating it again with the same bytes cannot write it twice.
      if (created.error.kind === 'outcomeUnknown') mayBeWritten = true
      const end = await readToEnd()
      if (!end.ok) return failure(toError(end.error.message))
      if (isOwnBatchFolded) return success(undefined)
    }
    return failure(toError(`claim shard ${shard} was written by others ${MAXIMUM_APPEND_ATTEMPTS} times in a row`))
  }

  const append = async (entries: readonly ClaimEntry[]): Promise<Result<undefined, ShardLogError>> => {
    const writtenAt = clock.wallTime()
    const batch = { batchId: random.nextId(), writtenAt, forgetBefore: writtenAt - options.retentionMs, entries }
    const bytes = batchCodec.encode(batch)
    let isWritten = false
    for (let attempt = 0; attempt < MAXIMUM_APPEND_ATTEMPTS; attempt += 1) {
      ownBatchId = batch.batchId
      isOwnBatchFolded = false
      const loaded = await load()
      const written = loaded.ok ? await writeAtEnd(batch, bytes) : loaded
      ownBatchId = undefined
      if (!written.ok) return isWritten ? failure(outcomeUnknown(written.error.message)) : written
      isWritten = true
      const verified = await verifyAgainstFloor()
      if (!verified.ok) return verified
      if (verified.value) return success(undefined)
    }
    return failure(outcomeUnknown(`claim shard ${shard} is pruned faster than it can be written`))
  }

  return {
    synchronize,
    append,
    findRecord: (keyId) => state.findRecord(keyId),
    isReleased: (claimId) => state.isReleased(claimId),
    nextSequence: () => next,
    toSnapshot: () => isLoaded && next === verifiedThrough ? state.toSnapshot(next) : undefined
  }
}

const notWritten = (message: string): ShardLogError => ({ kind: 'notWritten', message })

const outcomeUnknown = (message: string): ShardLogError => ({ kind: 'outcomeUnknown', message })
