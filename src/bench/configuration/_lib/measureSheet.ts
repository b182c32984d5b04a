/** Measures the sizes of one configuration sheet and the time that work on it takes on this machine. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { compareSheets } from '../../../decisions/compareSheets/index.js'
import { decodeChunk, type ChunkRecord } from '../../../decisions/decodeChunk/index.js'
import { encodeRoot } from '../../../decisions/encodeRoot/index.js'
import { joinChunksToSheet } from '../../../decisions/joinChunksToSheet/index.js'
import { parseSheet } from '../../../decisions/parseSheet/index.js'
import { serializeSheet } from '../../../decisions/serializeSheet/index.js'
import { splitSheetIntoChunks } from '../../../decisions/splitSheetIntoChunks/index.js'
import { computeSha256 } from '../../../kernel/index.js'
import type { ConfigurationChunk } from '../../../types/index.js'
import { createBenchSheet } from './createBenchSheet.js'

export type SheetMeasurement = {
  readonly csvBytes: number
  readonly chunks: number
  readonly chunkBytes: number
  readonly largestChunkBytes: number
  readonly rootBytes: number
  readonly changedChunks: number
  readonly changedBytes: number
  readonly parseMs: number
  readonly splitMs: number
  readonly compareMs: number
  /** Memory that a node uses for the configuration: the bytes of all chunks, the decoded records and the sheet. */
  readonly memoryBytes: number
  /** Time of a starting node: it hashes and decodes all chunks, then joins them. */
  readonly bootMs: number
  /** Time of a node that applies one changed row: it hashes and decodes one chunk, then joins all. */
  readonly changeMs: number
}

const REPEATS = 7
const HISTORY_LENGTH = 16

const measure = (work: () => unknown): number => {
  const times = Array.from({ length: REPEATS }, () => {
    const startedAt = performance.now()
    work()
    return performance.now() - startedAt
  })
  return times.sort((one, other) => one - other)[Math.floor(REPEATS / 2)]!
}

const decode = ({ bytes, hash }: ConfigurationChunk): readonly ChunkRecord[] => {
  const records = decodeChunk(bytes)
  if (!records.ok || computeSha256(bytes) !== hash) throw new Error('a newly encoded chunk cannot be decoded or does not match its hash')
  return records.value
}

const sumBytes = (chunks: readonly ConfigurationChunk[]): number => chunks.reduce((sum, { bytes }) => sum + bytes.length, 0)

const readMemory = (): number => {
  setFlagsFromString('--expose-gc')
  runInNewContext('gc')()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

const measureMemory = (accounts: number): number => {
  const before = readMemory()
  const chunks = splitSheetIntoChunks(createBenchSheet(accounts), computeSha256)
  const decoded = chunks.map(decode)
  const held = [chunks, decoded, joinChunksToSheet(decoded)]
  const after = readMemory()
  if (held.length === 0) throw new Error('the measured values were garbage-collected before the measurement')
  return after - before
}

const measureRoot = (chunks: readonly ConfigurationChunk[]): number => {
  const applied = { generation: 1, applyId: 'a'.repeat(24), appliedBy: 'operator', appliedAt: 1_700_000_000_000, sheetHash: 'b'.repeat(64) }
  return encodeRoot({ ...applied, chunks: chunks.map(({ hash }) => hash), history: Array(HISTORY_LENGTH).fill(applied) }).length
}

export const measureSheet = (accounts: number): SheetMeasurement => {
  const sheet = createBenchSheet(accounts)
  const changed = createBenchSheet(accounts, 2)
  const csv = serializeSheet(sheet)
  const chunks = splitSheetIntoChunks(sheet, computeSha256)
  const known = new Set(chunks.map(({ hash }) => hash))
  const changedChunks = splitSheetIntoChunks(changed, computeSha256, chunks.length).filter(({ hash }) => !known.has(hash))
  const decoded = chunks.map(decode)
  return {
    memoryBytes: measureMemory(accounts),
    csvBytes: csv.length,
    chunks: chunks.length,
    chunkBytes: sumBytes(chunks),
    largestChunkBytes: Math.max(...chunks.map(({ bytes }) => bytes.length)),
    rootBytes: measureRoot(chunks),
    changedChunks: changedChunks.length,
    changedBytes: sumBytes(changedChunks),
    parseMs: measure(() => parseSheet(csv)),
    splitMs: measure(() => splitSheetIntoChunks(sheet, computeSha256)),
    compareMs: measure(() => compareSheets(sheet, changed)),
    bootMs: measure(() => joinChunksToSheet(chunks.map(decode))),
    changeMs: measure(() => joinChunksToSheet([...decoded.slice(1), ...changedChunks.map(decode)]))
  }
}
