/**
 * Encodes and decodes the objects of the claim log (batches, snapshots, floors), and the
 * entries and records that routers send each other. Decoding validates the shape: a
 * damaged object makes its shard unavailable and is never folded.
 */
import { decode, encode } from 'cbor-x'
import { z } from 'zod'
import type { ClaimBatch, ClaimEntry, ClaimRecord } from '../../../decisions/foldClaims/index.js'

const storedAnswer = z.object({
  status: z.number(),
  headers: z.record(z.string(), z.string()),
  body: z.instanceof(Uint8Array)
})

const claimEntry = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), keyId: z.string(), claimId: z.string(), bodyHash: z.string(), holder: z.string() }),
  z.object({ kind: z.literal('release'), keyId: z.string(), claimId: z.string() }),
  z.object({ kind: z.literal('completion'), keyId: z.string(), claimId: z.string(), answer: storedAnswer.optional() })
])

const claimBatch = z.object({
  batchId: z.string(),
  writtenAt: z.number(),
  forgetBefore: z.number(),
  entries: z.array(claimEntry)
})

const claimRecord = z.object({
  claimId: z.string(),
  bodyHash: z.string(),
  holder: z.string(),
  writtenAt: z.number(),
  state: z.enum(['open', 'complete']),
  answer: storedAnswer.optional()
})

const claimSnapshotRoot = z.object({
  floor: z.number(),
  forgetBefore: z.number(),
  parts: z.array(z.string())
})

const claimSnapshotPart = z.object({
  records: z.array(z.tuple([z.string(), claimRecord])),
  releases: z.array(z.tuple([z.string(), z.number()]))
})

const claimFloor = z.object({ floor: z.number() })

const claimLayout = z.object({ shards: z.number().int().min(1) })

/** A part of a shard's folded state, small enough for one object. */
export type ClaimSnapshotPart = {
  readonly records: readonly (readonly [string, ClaimRecord])[]
  readonly releases: readonly (readonly [string, number])[]
}

/** The complete folded state of a shard, in memory. */
export type ClaimSnapshot = ClaimSnapshotPart & {
  /** The first sequence number that is not folded into the snapshot. */
  readonly floor: number
  readonly forgetBefore: number
}

/** The snapshot object; records and releases are in the parts that it names. */
export type ClaimSnapshotRoot = {
  readonly floor: number
  readonly forgetBefore: number
  readonly parts: readonly string[]
}

export type ClaimFloor = { readonly floor: number }

/** Number of shards, stored in the platform: nodes with different numbers would look for a key in different logs. */
export type ClaimLayout = { readonly shards: number }

type Codec<Value> = {
  readonly encode: (value: Value) => Uint8Array
  /** Returns `undefined` for bytes that are damaged or have another shape. */
  readonly decode: (bytes: Uint8Array) => Value | undefined
}

const createCodec = <Value>(schema: z.ZodType<unknown>): Codec<Value> => ({
  encode: (value) => encode(value),
  decode: (bytes) => {
    try {
      const parsed = schema.safeParse(decode(bytes))
      return parsed.success ? parsed.data as Value : undefined
    } catch {
      return undefined
    }
  }
})

export const entryCodec = createCodec<ClaimEntry>(claimEntry)
export const batchCodec = createCodec<ClaimBatch>(claimBatch)
export const recordCodec = createCodec<ClaimRecord>(claimRecord)
export const snapshotRootCodec = createCodec<ClaimSnapshotRoot>(claimSnapshotRoot)
export const snapshotPartCodec = createCodec<ClaimSnapshotPart>(claimSnapshotPart)
export const floorCodec = createCodec<ClaimFloor>(claimFloor)
export const layoutCodec = createCodec<ClaimLayout>(claimLayout)
