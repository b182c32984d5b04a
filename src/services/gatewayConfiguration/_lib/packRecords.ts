/**
 * Compresses all records of a configuration, for a node that has none. Hundreds
 * of similar routes shrink to a twelfth, so that a reader on a slow link can
 * supply its zone after a loss of power.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { ConfigurationRecords, Result } from '../../../types/index.js'
import { failure, limitNesting, success } from '../../../kernel/index.js'

/** The fastest level of deflate; higher levels save next to nothing on this data. */
const LEVEL = 1
/** Twice the size of any object of the source; bounds the memory that a malformed message can use, up to thirty times as much. */
const MAXIMUM_BYTES = 2.5 * 1024 * 1024

const isRecords = (value: unknown): value is ConfigurationRecords =>
  typeof value === 'object' && value !== null && Object.values(value).every(Array.isArray)

/**
 * Compresses records.
 *
 * @param records - Records by section, of JSON values.
 * @returns The compressed bytes.
 *
 * @example
 * packRecords({ routes: [] })
 */
export const packRecords = (records: ConfigurationRecords): Uint8Array => deflateRawSync(JSON.stringify(records), { level: LEVEL })

/**
 * Decompresses records.
 *
 * @param bytes - Output of `packRecords`.
 * @returns The records, or a text that says why the bytes are invalid.
 *
 * @example
 * unpackRecords(packRecords({ routes: [] })) // => { ok: true, value: { routes: [] } }
 */
export const unpackRecords = (bytes: Uint8Array): Result<ConfigurationRecords, string> => {
  try {
    const records: unknown = JSON.parse(Buffer.from(limitNesting(inflateRawSync(bytes, { maxOutputLength: MAXIMUM_BYTES }))).toString('utf8'))
    return isRecords(records) ? success(records) : failure('packed records are not an object of arrays')
  } catch (error) {
    return failure(`packed records cannot be decoded: ${error instanceof Error ? error.message : String(error)}`)
  }
}
