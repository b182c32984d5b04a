/**
 * Splits a sheet into content-addressed chunks. A record's bucket depends only on
 * its kind and name, so a changed row changes one chunk and a node fetches only
 * that chunk.
 */
import { canonicalizeSheet } from '../canonicalizeSheet/index.js'
import type { ConfigurationChunk, Sheet } from '../../types/index.js'

/** Small chunks make a changed row cheap to fetch, but more of them make the list of hashes in the root longer. */
const TARGET_CHUNK_BYTES = 16_384
const MAXIMUM_BUCKETS = 4_096
const BUCKET_HASH_DIGITS = 8

/** Computes the hexadecimal hash of bytes or of the UTF-8 encoding of a text; its digits are uniformly distributed. */
export type HashContent = (content: string | Uint8Array) => string

/**
 * Splits a sheet into chunks.
 *
 * The number of buckets is a power of two. It does not change while the mean chunk
 * size is between a quarter of and twice the target size, so that a sheet whose
 * size varies around a threshold does not change all of its chunks each time.
 *
 * @param sheet - A valid sheet.
 * @param hashContent - The content hash, SHA-256 in the fleet.
 * @param previousBuckets - Number of chunks of the sheet that this one replaces.
 * @returns The chunks in bucket order, including those of empty buckets.
 *
 * @example
 * splitSheetIntoChunks(sheet, computeSha256).map(({ hash }) => hash)
 */
export const splitSheetIntoChunks = (sheet: Sheet, hashContent: HashContent, previousBuckets?: number): readonly ConfigurationChunk[] => {
  const lines = listLines(canonicalizeSheet(sheet))
  const bytes = lines.reduce((sum, { text }) => sum + text.length + 1, 0)
  const count = chooseBucketCount(bytes, previousBuckets)
  const buckets: string[][] = Array.from({ length: count }, () => [])
  for (const { key, text } of lines) buckets[chooseBucket(hashContent(key), count)]!.push(text)
  return buckets.map((bucket) => createChunk(bucket, hashContent))
}

type RecordLine = { readonly key: string, readonly text: string }

const listLines = (sheet: Sheet): readonly RecordLine[] => (Object.keys(sheet) as (keyof Sheet)[]).sort().flatMap((list) =>
  sheet[list].map((record) => ({ key: `${list} ${record.name}`, text: `["${list}",${stringifyWithSortedKeys(record)}]` })))

/** Records are flat, so the list of their own keys includes every key to serialize. */
const stringifyWithSortedKeys = (record: object): string => JSON.stringify(record, Object.keys(record).sort())

const chooseBucketCount = (bytes: number, previous?: number): number => {
  if (previous !== undefined && isPowerOfTwo(previous) && hasAcceptableChunkSize(bytes / previous, previous)) return previous
  const needed = Math.max(1, bytes / TARGET_CHUNK_BYTES)
  return Math.min(MAXIMUM_BUCKETS, 2 ** Math.ceil(Math.log2(needed)))
}

const hasAcceptableChunkSize = (chunkBytes: number, previous: number): boolean =>
  chunkBytes <= TARGET_CHUNK_BYTES * 2 && (previous === 1 || chunkBytes >= TARGET_CHUNK_BYTES / 4)

const isPowerOfTwo = (value: number): boolean => value >= 1 && value <= MAXIMUM_BUCKETS && Number.isInteger(Math.log2(value))

const chooseBucket = (hash: string, count: number): number => parseInt(hash.slice(0, BUCKET_HASH_DIGITS), 16) % count

const createChunk = (lines: readonly string[], hashContent: HashContent): ConfigurationChunk => {
  const bytes = new TextEncoder().encode(`{"format":1,"records":[${lines.join(',\n')}]}`)
  return { hash: hashContent(bytes), bytes }
}
