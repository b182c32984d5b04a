/**
 * Reads, writes and deletes chunks at the platform. Chunks are written before the
 * root that references them and deleted when no root references them any more.
 *
 * A deletion can race with another operator who writes a root that uses the same
 * chunk again. To guard against that, a writer rewrites ("touches") each chunk that
 * its new root needs and the root in force lacks, which gives the chunk a new
 * version. A sweep deletes only versions that were listed before its own root was
 * accepted. A writer that planned on the older root fails the root's condition. A
 * writer that planned on the newer root touched the chunk after the list, so that
 * the deletion fails.
 */
import { decodeChunk, type ChunkRecord } from '../../../decisions/decodeChunk/index.js'
import { joinChunksToSheet } from '../../../decisions/joinChunksToSheet/index.js'
import { failure, mapInBatches, success } from '../../../kernel/index.js'
import type { ConfigurationChunk, ConfigurationRoot, ObjectVersion, Platform, PlatformError, Result, Sheet } from '../../../types/index.js'

export type ChunkVersions = ReadonlyMap<string, ObjectVersion>

export type ChunkStore = {
  readonly list: () => Promise<Result<ChunkVersions, PlatformError>>
  readonly readSheet: (root: ConfigurationRoot) => Promise<Result<Sheet, string>>
  readonly write: (chunks: readonly ConfigurationChunk[], root: ConfigurationRoot | undefined, listed: ChunkVersions) => Promise<Result<undefined, PlatformError>>
  /** Deletes the listed versions of chunks that none of the roots references; best effort. */
  readonly sweep: (listed: ChunkVersions, roots: readonly (ConfigurationRoot | undefined)[]) => Promise<void>
}

const PREFIX = 'configuration/chunks/'
const MAXIMUM_ATTEMPTS = 5
const CONCURRENT_CALLS = 8

export const createChunkStore = (platform: Platform, hashContent: (content: Uint8Array) => string, waitToRetry: (failures: number) => Promise<void>): ChunkStore => {
  const readChunk = async (hash: string): Promise<Result<readonly ChunkRecord[], string>> => {
    const object = await platform.readObject(`${PREFIX}${hash}`)
    if (!object.ok) return failure(`platform: ${object.error.kind}`)
    if (object.value === undefined) return failure(`chunk ${hash.slice(0, 12)} is missing at the platform`)
    if (hashContent(object.value.bytes) !== hash) return failure(`chunk ${hash.slice(0, 12)} is damaged at the platform`)
    const records = decodeChunk(object.value.bytes)
    return records.ok ? records : failure(records.error.message)
  }

  const findVersion = async (name: string): Promise<ObjectVersion | undefined> => {
    const object = await platform.readObject(name)
    return object.ok ? object.value?.version : undefined
  }

  const writeOnce = (name: string, bytes: Uint8Array, version: ObjectVersion | undefined): Promise<Result<ObjectVersion, PlatformError>> =>
    version === undefined ? platform.createObject(name, bytes) : platform.updateObject(name, bytes, version)

  /** The name is the hash of the content, so every retry writes the same bytes and a lost reply does no harm. */
  const writeChunk = async ({ hash, bytes }: ConfigurationChunk, listed: ObjectVersion | undefined): Promise<Result<undefined, PlatformError>> => {
    const name = `${PREFIX}${hash}`
    let written = await writeOnce(name, bytes, listed)
    for (let attempts = 1; attempts < MAXIMUM_ATTEMPTS && !written.ok && written.error.kind !== 'rejected'; attempts += 1) {
      if (written.error.kind !== 'conflict') await waitToRetry(attempts)
      written = await writeOnce(name, bytes, await findVersion(name))
    }
    return written.ok ? success(undefined) : written
  }

  return {
    list: async () => {
      const versions = new Map<string, ObjectVersion>()
      for (let after: string | undefined = ''; after !== undefined;) {
        const page = await platform.listObjects(PREFIX, after === '' ? {} : { after })
        if (!page.ok) return page
        for (const { name, version } of page.value.objects) versions.set(name.slice(PREFIX.length), version)
        after = page.value.continueAfter
      }
      return success(versions)
    },
    readSheet: async (root) => {
      const chunks = await mapInBatches([...new Set(root.chunks)], CONCURRENT_CALLS, readChunk)
      const failed = chunks.find((chunk) => !chunk.ok)
      if (failed !== undefined && !failed.ok) return failed
      return success(joinChunksToSheet(chunks.flatMap((chunk) => chunk.ok ? [chunk.value] : [])))
    },
    write: async (chunks, root, listed) => {
      const inForce = new Set(root?.chunks)
      const needed = new Map(chunks.filter(({ hash }) => !inForce.has(hash)).map((chunk) => [chunk.hash, chunk]))
      const written = await mapInBatches([...needed.values()], CONCURRENT_CALLS, (chunk) => writeChunk(chunk, listed.get(chunk.hash)))
      return written.find((outcome) => !outcome.ok) ?? success(undefined)
    },
    sweep: async (listed, roots) => {
      const needed = new Set(roots.flatMap((root) => root?.chunks ?? []))
      const unneeded = [...listed].filter(([hash]) => !needed.has(hash))
      await mapInBatches(unneeded, CONCURRENT_CALLS, ([hash, version]) => platform.deleteObject(`${PREFIX}${hash}`, version))
    }
  }
}
