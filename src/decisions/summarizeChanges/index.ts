/** Limits the size of a list of changes, so that a very large sheet does not make an audit entry too large. */
import type { AuditChange, SheetChange } from '../../types/index.js'

const MAXIMUM_CHANGES = 100
const MAXIMUM_VALUE_LENGTH = 400

/**
 * Shortens a list of changes for the audit trail.
 *
 * @param changes - All changes of a sheet.
 * @returns At most 100 of them, each value truncated to 400 characters.
 *
 * @example
 * summarizeChanges([]) // => []
 */
export const summarizeChanges = (changes: readonly SheetChange[]): readonly AuditChange[] => changes.slice(0, MAXIMUM_CHANGES).map(({ record, name, before, after }) => ({
  record,
  name,
  ...(before === undefined ? {} : { before: shorten(before) }),
  ...(after === undefined ? {} : { after: shorten(after) })
}))

const shorten = (text: string): string => text.length <= MAXIMUM_VALUE_LENGTH ? text : `${text.slice(0, MAXIMUM_VALUE_LENGTH)}...`
