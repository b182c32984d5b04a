/**
 * Folds a shard's old batches into its snapshot and deletes them. The argument at the head
 * of `createShardLog` relies on the order of the writes: snapshot, then floor, then
 * deletes, each only after the previous one is confirmed. A step that fails or whose reply
 * is lost ends the run; the next run starts over and finds whatever took effect.
 */
import type { ObjectVersion, Platform, RandomSource } from '../../../types/index.js'
import { floorCodec, snapshotRootCodec } from './codecs.js'
import type { ClaimSnapshot } from './codecs.js'
import { formatBatchName, formatFloorName, formatPartEnd, formatPartPrefix, formatShardPrefix, formatSnapshotName } from './objectNames.js'
import { writeSnapshotParts } from './snapshots.js'

type RaiseOutcome = 'written' | 'higherAlready' | 'failed'

/** Raises the number that an object holds. Succeeds only with a confirmed write, or when the stored number is at least as high. */
const raise = async (platform: Platform, name: string, value: number, readValue: (bytes: Uint8Array) => number | undefined, bytes: Uint8Array): Promise<RaiseOutcome> => {
  const read = await platform.readObject(name)
  if (!read.ok) return 'failed'
  if (read.value === undefined) return (await platform.createObject(name, bytes)).ok ? 'written' : 'failed'
  const current = readValue(read.value.bytes)
  if (current === undefined) return 'failed'
  if (current >= value) return 'higherAlready'
  return (await platform.updateObject(name, bytes, read.value.version)).ok ? 'written' : 'failed'
}

const deleteAll = async (platform: Platform, objects: readonly { readonly name: string, readonly version: ObjectVersion }[]): Promise<void> => {
  for (const { name, version } of objects) {
    const deleted = await platform.deleteObject(name, version)
    if (!deleted.ok && deleted.error.kind === 'unavailable') return
  }
}

const deleteBatchesBelow = async (platform: Platform, shard: number, floor: number): Promise<void> => {
  const firstKept = formatBatchName(shard, floor)
  const list = await platform.listObjects(formatShardPrefix(shard))
  // Batch names are digits of one width, so those below the floor sort first.
  if (list.ok) await deleteAll(platform, list.value.objects.filter(({ name }) => name < firstKept))
}

/**
 * Deletes the parts of older snapshots and those that failed prunings left behind. A root
 * only ever replaces one with a lower floor, so a part of this floor or a lower one that
 * the current root does not name can never be named again. Parts of a higher floor may
 * belong to another pruner that has not written its root yet.
 */
const deletePartsUpTo = async (platform: Platform, shard: number, floor: number, currentParts: readonly string[]): Promise<void> => {
  const end = formatPartEnd(shard, floor)
  const list = await platform.listObjects(formatPartPrefix(shard))
  if (list.ok) await deleteAll(platform, list.value.objects.filter(({ name }) => name < end && !currentParts.includes(name)))
}

export type PruneOutcome = 'pruned' | 'failed'

export type Pruning = {
  readonly platform: Platform
  readonly random: RandomSource
  readonly shard: number
  /** Batches kept below the end of the snapshot, so that nodes that lag a little need not load it. */
  readonly keptBatches: number
}

/**
 * Prunes one shard up to a snapshot of its verified state.
 *
 * @param pruning - Platform, shard number, and the number of batches to keep.
 * @param snapshot - The shard's folded state, checked against the floor.
 * @returns `pruned`, or `failed` when a step was not confirmed.
 */
export const pruneShard = async ({ platform, random, shard, keptBatches }: Pruning, snapshot: ClaimSnapshot): Promise<PruneOutcome> => {
  const parts = await writeSnapshotParts(platform, random, shard, snapshot)
  if (parts === undefined) return 'failed'
  const root = snapshotRootCodec.encode({ floor: snapshot.floor, forgetBefore: snapshot.forgetBefore, parts })
  const saved = await raise(platform, formatSnapshotName(shard), snapshot.floor, (stored) => snapshotRootCodec.decode(stored)?.floor, root)
  if (saved === 'failed') return 'failed'
  const floor = Math.max(0, snapshot.floor - keptBatches)
  const raised = await raise(platform, formatFloorName(shard), floor, (stored) => floorCodec.decode(stored)?.floor, floorCodec.encode({ floor }))
  if (raised === 'failed') return 'failed'
  await deleteBatchesBelow(platform, shard, floor)
  if (saved === 'written') await deletePartsUpTo(platform, shard, snapshot.floor, parts)
  return 'pruned'
}
