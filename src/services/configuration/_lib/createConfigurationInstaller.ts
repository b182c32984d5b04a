/**
 * Holds the generation in force with its chunks. A higher root replaces it in
 * one assignment, after all its chunks have been fetched, verified and decoded.
 */
import { decodeChunk, type ChunkRecord } from '../../../decisions/decodeChunk/index.js'
import { joinChunksToSheet } from '../../../decisions/joinChunksToSheet/index.js'
import { failure, success } from '../../../kernel/index.js'
import type { Configuration, ConfigurationRoot, Result } from '../../../types/index.js'
import type { ChunkFetcher } from './createChunkFetcher.js'

export type FetchedRoot = { readonly root: ConfigurationRoot, readonly bytes: Uint8Array }

export type ConfigurationInstaller = {
  readonly current: () => Configuration | undefined
  readonly generation: () => number
  readonly applyId: () => string | undefined
  /** Returns the new configuration, `undefined` if the root's generation is not higher, or why it could not be put in force. */
  readonly install: (found: FetchedRoot) => Promise<Result<Configuration | undefined, string>>
  readonly readRoot: () => Uint8Array | undefined
  readonly readChunk: (hash: string) => Uint8Array | undefined
}

type KnownChunk = { readonly bytes: Uint8Array, readonly records: readonly ChunkRecord[] }

type InForce = FetchedRoot & { readonly configuration: Configuration }

/** Maximum chunk fetches in flight while a generation is installed. */
const CONCURRENT_FETCHES = 8

export const createConfigurationInstaller = (fetchChunk: ChunkFetcher): ConfigurationInstaller => {
  const chunks = new Map<string, KnownChunk>()
  let inForce: InForce | undefined

  /** Drops chunks of failed attempts as soon as another root is tried, so that failures cannot fill the memory. */
  const dropUnused = (root: ConfigurationRoot): void => {
    const used = new Set([...root.chunks, ...inForce?.root.chunks ?? []])
    for (const hash of chunks.keys()) if (!used.has(hash)) chunks.delete(hash)
  }

  const fetchInto = async (hash: string, generation: number): Promise<string | undefined> => {
    const bytes = await fetchChunk(hash, generation)
    if (!bytes.ok) return bytes.error
    const records = decodeChunk(bytes.value)
    if (!records.ok) return `chunk ${hash.slice(0, 12)}: ${records.error.message}`
    chunks.set(hash, { bytes: bytes.value, records: records.value })
    return undefined
  }

  const fetchMissing = async (root: ConfigurationRoot): Promise<string | undefined> => {
    const missing = [...new Set(root.chunks)].filter((hash) => !chunks.has(hash))
    while (missing.length > 0) {
      const batch = missing.splice(0, CONCURRENT_FETCHES)
      const problems = await Promise.all(batch.map((hash) => fetchInto(hash, root.generation)))
      const problem = problems.find((candidate) => candidate !== undefined)
      if (problem !== undefined) return problem
    }
    return undefined
  }

  return {
    current: () => inForce?.configuration,
    generation: () => inForce?.root.generation ?? 0,
    applyId: () => inForce?.root.applyId,
    install: async ({ root, bytes }) => {
      if (root.generation <= (inForce?.root.generation ?? 0)) return success(undefined)
      dropUnused(root)
      const problem = await fetchMissing(root)
      if (problem !== undefined) return failure(problem)
      const sheet = joinChunksToSheet(root.chunks.map((hash) => chunks.get(hash)?.records ?? []))
      const { generation, appliedBy, appliedAt, applyId } = root
      inForce = { root, bytes, configuration: { generation, appliedBy, appliedAt, applyId, sheet } }
      dropUnused(root)
      return success(inForce.configuration)
    },
    readRoot: () => inForce?.bytes,
    readChunk: (hash) => chunks.get(hash)?.bytes
  }
}
