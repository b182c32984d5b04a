/** Lists the differences between two sheets, record by record, in a human-readable form. */
import { formatIsoTime } from '../../kernel/index.js'
import type { Sheet, SheetChange } from '../../types/index.js'

const SHOWN_HASH_DIGITS = 8

/**
 * Compares two sheets.
 *
 * Only the first digits of a key hash are shown, enough to identify a replaced
 * key; the complete hash stays out of terminals and the audit trail.
 *
 * @param before - The sheet in force, or `undefined` for none.
 * @param after - The sheet to apply.
 * @returns The changes by record kind and name. `before` is absent for a new record, `after` for a removed one.
 *
 * @example
 * compareSheets(sheet, sheet) // => []
 */
export const compareSheets = (before: Sheet | undefined, after: Sheet): readonly SheetChange[] =>
  (['clientAccounts', 'services', 'backendServers', 'routes', 'plannedStops'] as const)
    .flatMap((list) => compareLists(list, before?.[list] ?? [], after[list]))

type NamedRecord = { readonly name: string }

const compareLists = (list: keyof Sheet, before: readonly NamedRecord[], after: readonly NamedRecord[]): readonly SheetChange[] => {
  const oldRecords = new Map(before.map((record) => [record.name, record]))
  const newRecords = new Map(after.map((record) => [record.name, record]))
  const names = [...new Set([...oldRecords.keys(), ...newRecords.keys()])].sort()
  return names.flatMap((name) => compareRecordVersions(list, name, oldRecords.get(name), newRecords.get(name)))
}

const compareRecordVersions = (list: keyof Sheet, name: string, before?: NamedRecord, after?: NamedRecord): readonly SheetChange[] => {
  if (serializeFields(before) === serializeFields(after)) return []
  return [{
    record: list,
    name,
    ...(before === undefined ? {} : { before: describe(before) }),
    ...(after === undefined ? {} : { after: describe(after) })
  }]
}

const listFields = (record: NamedRecord): readonly (readonly [string, unknown])[] =>
  Object.entries(record).filter(([field]) => field !== 'name').sort(([one], [other]) => one < other ? -1 : 1)

const serializeFields = (record?: NamedRecord): string => record === undefined ? '' : JSON.stringify(listFields(record).map(([field, value]) => [field, Array.isArray(value) ? [...value].sort() : value]))

const describe = (record: NamedRecord): string => listFields(record).map(([field, value]) => `${field}=${describeValue(field, value)}`).join(' ')

const describeValue = (field: string, value: unknown): string => {
  if (field === 'keyHashes') return [...value as readonly string[]].sort().map((hash) => `${hash.slice(0, SHOWN_HASH_DIGITS)}...`).join(',')
  if (field === 'startsAt' || field === 'endsAt') return formatIsoTime(value as number)
  return String(value)
}
