/** Joins decoded chunks into the sheet from which they were split. */
import { canonicalizeSheet } from '../canonicalizeSheet/index.js'
import type { ChunkRecord } from '../decodeChunk/index.js'
import type { Sheet } from '../../types/index.js'

/**
 * Joins the records of all chunks into a sheet in canonical form.
 *
 * @param chunks - The decoded chunks, in any order.
 * @returns The sheet.
 *
 * @example
 * joinChunksToSheet([]).routes // => []
 */
export const joinChunksToSheet = (chunks: readonly (readonly ChunkRecord[])[]): Sheet => {
  const lists: Record<keyof Sheet, unknown[]> = { clientAccounts: [], services: [], backendServers: [], routes: [], plannedStops: [] }
  for (const records of chunks) {
    for (const [list, record] of records) lists[list].push(record)
  }
  return canonicalizeSheet(lists as unknown as Sheet)
}
