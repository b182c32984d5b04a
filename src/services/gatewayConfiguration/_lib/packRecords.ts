/**
 * All records of a configuration in few bytes, for a node that holds none.
 * Hundreds of routes are much alike and shrink to a twelfth, so that a reader
 * on a slow link can serve its zone after a loss of power.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import type { ConfigurationRecords, Result } from '../../../types/index.js'
import { failure, success } from '../../../kernel/index.js'

/** The fastest; better ones save next to nothing here. */
const LEVEL = 1
/** Far above any configuration; bounds what a malformed message can cost. */
const MAXIMUM_BYTES = 16 * 1024 * 1024

const isRecords = (value: unknown): value is ConfigurationRecords =>
  typeof value === 'object' && value !== null && Object.values(value).every(Array.isArray)

/**
 * Packs records.
 *
 * @param records - Records by section, of values that JSON can hold.
 * @returns The packed bytes.
 *
 * @example
 * packRecords({ routes: [] })
 */
export const packRecords = (records: ConfigurationRecords): Uint8Array => deflateRawSync(JSON.stringify(records), { level: LEVEL })

/**
 * Unpacks records.
 *
 * @param bytes - As `packRecords` made them.
 * @returns The records, or what is wrong with the bytes.
 *
 * @example
 * unpackRecords(packRecords({ routes: [] })) // => { ok: true, value: { routes: [] } }
 */
export const unpackRecords = (bytes: Uint8Array): Result<ConfigurationRecords, string> => {
  try {
    const records: unknown = JSON.parse(inflateRawSync(bytes, { maxOutputLength: MAXIMUM_BYTES }).toString('utf8'))
    return isRecords(records) ? success(records) : failure('packed records are not lists by section')
  } catch (error) {
    return failure(`packed records are not readable: ${error instanceof Error ? error.message : String(error)}`)
  }
}
