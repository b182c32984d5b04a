/**
 * Reads and writes a shard's snapshot in the platform: a root object that names its parts,
 * as the state of a busy shard does not fit into one object. Parts are written first, under
 * unique names, so the write of the root puts the complete snapshot in place atomically.
 */
import { failure, success } from '../../../kernel/index.js'
import type { Platform, RandomSource, Result } from '../../../types/index.js'
import { snapshotPartCodec, snapshotRootCodec } from './codecs.js'
import type { ClaimSnapshot, ClaimSnapshotPart } from './codecs.js'
import { formatPartName, formatSnapshotName } from './objectNames.js'

/** Entries in one part; parts with answers are also limited by the size of the answers. */
const MAXIMUM_PART_ENTRIES = 2_000

const MAXIMUM_PART_ANSWER_BYTES = 300_000

/** A snapshot that is replaced while it is read loses its parts; more often than this in a row indicates a fault. */
const MAXIMUM_READ_ATTEMPTS = 5

const splitIntoParts = ({ records, releases }: ClaimSnapshot): readonly ClaimSnapshotPart[] => {
  const parts: ClaimSnapshotPart[] = []
  let open: (readonly [string, ClaimSnapshotPart['records'][number][1]])[] = []
  let answerBytes = 0
  for (const entry of records) {
    open.push(entry)
    answerBytes += entry[1].answer?.body.byteLength ?? 0
    if (open.length < MAXIMUM_PART_ENTRIES && answerBytes < MAXIMUM_PART_ANSWER_BYTES) continue
    parts.push({ records: open, releases: [] })
    open = []
    answerBytes = 0
  }
  if (open.length > 0) parts.push({ records: open, releases: [] })
  for (let start = 0; start < releases.length; start += MAXIMUM_PART_ENTRIES) {
    parts.push({ records: [], releases: releases.slice(start, start + MAXIMUM_PART_ENTRIES) })
  }
  return parts
}

/**
 * Writes the parts of a snapshot under unique names.
 *
 * @param platform - The object API.
 * @param random - Source of the snapshot's id.
 * @param shard - Shard number.
 * @param snapshot - The shard's folded state.
 * @returns The names in order; `undefined` when a write was not confirmed.
 */
export const writeSnapshotParts = async (platform: Platform, random: RandomSource, shard: number, snapshot: ClaimSnapshot): Promise<readonly string[] | undefined> => {
  const snapshotId = random.nextId()
  const names: string[] = []
  for (const [index, part] of splitIntoParts(snapshot).entries()) {
    const name = formatPartName(shard, snapshot.floor, snapshotId, index)
    const created = await platform.createObject(name, snapshotPartCodec.encode(part))
    if (!created.ok) return undefined
    names.push(name)
  }
  return names
}

type ReadOutcome = Result<ClaimSnapshot | undefined, string>

/** Returns `replaced` when a part no longer exists: a newer snapshot has replaced this one. */
const readOnce = async (platform: Platform, shard: number): Promise<ReadOutcome | 'replaced'> => {
  const read = await platform.readObject(formatSnapshotName(shard))
  if (!read.ok) return failure(`cannot be read: ${read.error.kind}`)
  if (read.value === undefined) return success(undefined)
  const root = snapshotRootCodec.decode(read.value.bytes)
  if (root === undefined) return failure('is damaged')
  const parts: ClaimSnapshotPart[] = []
  for (const name of root.parts) {
    const object = await platform.readObject(name)
    if (!object.ok) return failure(`cannot be read: ${object.error.kind}`)
    if (object.value === undefined) return 'replaced'
    const part = snapshotPartCodec.decode(object.value.bytes)
    if (part === undefined) return failure('is damaged')
    parts.push(part)
  }
  const { floor, forgetBefore } = root
  return success({ floor, forgetBefore, records: parts.flatMap(({ records }) => records), releases: parts.flatMap(({ releases }) => releases) })
}

/**
 * Reads a shard's complete snapshot.
 *
 * @param platform - The object API.
 * @param shard - Shard number.
 * @returns The snapshot, `undefined` when there is none yet, or why it cannot be read.
 */
export const readSnapshot = async (platform: Platform, shard: number): Promise<ReadOutcome> => {
  for (let attempt = 0; attempt < MAXIMUM_READ_ATTEMPTS; attempt += 1) {
    const outcome = await readOnce(platform, shard)
    if (outcome !== 'replaced') return outcome
  }
  return failure('is replaced faster than it can be read, or lacks a part')
}
