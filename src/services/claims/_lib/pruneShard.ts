/**
 * Folds a shard's old batches into its snapshot and deletes them. The order of
 * the three writes carries the argument at the head of `createShardLog`:
 * snapshot, then floor, then deletes, each only after the one before it is
 * confirmed. A step that fails or whose reply is lost ends the run; the next
 * run starts over and finds whatever took effect.
 */
import type { Platform } from '../../../types/index.js'
import { floorCodec, snapshotCodec } from './codecs.js'
import type { ClaimSnapshot } from './codecs.js'
import { batchName, floorName, shardPrefix, snapshotName } from './objectNames.js'

/** Below the platform's limit of a megabyte, with room for a wider encoding. */
const MAXIMUM_SNAPSHOT_BYTES = 900_000

/** Raises an object that holds a number; gives whether it is confirmed to be at least `value`. */
const raise = async (platform: Platform, name: string, value: number, readValue: (bytes: Uint8Array) => number | undefined, bytes: Uint8Array): Promise<boolean> => {
  const read = await platform.readObject(name)
  if (!read.ok) return false
  if (read.value === undefined) return (await platform.createObject(name, bytes)).ok
  const current = readValue(read.value.bytes)
  if (current === undefined) return false
  if (current >= value) return true
  return (await platform.updateObject(name, bytes, read.value.version)).ok
}

/** Encodes a snapshot, without the answers where they do not fit. Gives `undefined` when even that is too large. */
const encodeWithinLimit = (snapshot: ClaimSnapshot): Uint8Array | undefined => {
  const whole = snapshotCodec.encode(snapshot)
  if (whole.byteLength <= MAXIMUM_SNAPSHOT_BYTES) return whole
  const withoutAnswers = snapshot.records.map(([keyId, record]) => [keyId, { ...record, answer: undefined }] as const)
  const bare = snapshotCodec.encode({ ...snapshot, records: withoutAnswers })
  return bare.byteLength <= MAXIMUM_SNAPSHOT_BYTES ? bare : undefined
}

const deleteBelow = async (platform: Platform, shard: number, floor: number): Promise<void> => {
  const firstKept = batchName(shard, floor)
  const list = await platform.listObjects(shardPrefix(shard))
  if (!list.ok) return
  // Batch names are digits of one width, so those below the floor sort first.
  const pruned = list.value.objects.filter((object) => object.name < firstKept)
  for (const object of pruned) {
    const deleted = await platform.deleteObject(object.name, object.version)
    if (!deleted.ok && deleted.error.kind === 'unavailable') return
  }
}

export type PruneOutcome = 'pruned' | 'failed' | 'tooLarge'

/**
 * Prunes one shard up to a snapshot of its checked state.
 *
 * @param platform - The object API.
 * @param shard - Shard number.
 * @param snapshot - The shard's fold, checked against the floor.
 * @param keptBatches - Batches kept below the snapshot's end, so that nodes a
 *   little behind need not load it.
 * @returns `pruned`; `failed` when a step was not confirmed; `tooLarge` when
 *   the snapshot does not fit an object, in which case the log just grows.
 */
export const pruneShard = async (platform: Platform, shard: number, snapshot: ClaimSnapshot, keptBatches: number): Promise<PruneOutcome> => {
  const bytes = encodeWithinLimit(snapshot)
  if (bytes === undefined) return 'tooLarge'
  const isSaved = await raise(platform, snapshotName(shard), snapshot.floor, (stored) => snapshotCodec.decode(stored)?.floor, bytes)
  if (!isSaved) return 'failed'
  const floor = Math.max(0, snapshot.floor - keptBatches)
  const isRaised = await raise(platform, floorName(shard), floor, (stored) => floorCodec.decode(stored)?.floor, floorCodec.encode({ floor }))
  if (!isRaised) return 'failed'
  await deleteBelow(platform, shard, floor)
  return 'pruned'
}
