/** Serializes a sheet to its canonical form. */
import { formatIsoTime } from '../../kernel/index.js'
import { canonicalizeSheet } from '../canonicalizeSheet/index.js'
import { recordKinds, sheetColumns } from '../parseSheet/_lib/sheetColumns.js'
import type { Sheet, SheetColumn, SheetRecordKind } from '../../types/index.js'

type Cells = Readonly<Partial<Record<SheetColumn, string>>>

const writers: Readonly<Record<SheetRecordKind, (sheet: Sheet) => readonly Cells[]>> = {
  clientAccount: ({ clientAccounts }) => clientAccounts.map(({ name, weight, keyHashes }) => ({ name, weight: String(weight), keySha256: keyHashes.join(' ') })),
  service: ({ services }) => services.map(({ name, kind, loadLimit, loadTarget }) => ({ name, kind, loadLimit: String(loadLimit), loadTarget: String(loadTarget) })),
  backendServer: ({ backendServers }) => backendServers.map((server) => ({ ...server, slots: String(server.slots) })),
  route: ({ routes }) => routes.map((route) => ({
    ...route,
    repeatable: writeFlag(route.repeatable),
    backendIdempotent: writeFlag(route.backendIdempotent),
    deadlineSeconds: String(route.deadlineSeconds)
  })),
  plannedStop: ({ plannedStops }) => plannedStops.map(({ name, backendServer, availabilityZone, startsAt, endsAt }) => ({
    name,
    backendServer: backendServer ?? '',
    availabilityZone: availabilityZone ?? '',
    startsAt: formatIsoTime(startsAt),
    endsAt: endsAt === undefined ? '' : formatIsoTime(endsAt)
  }))
}

/**
 * Serializes a sheet as CSV in canonical form: all columns, records sorted by
 * kind and name, explicit defaults, times in UTC.
 *
 * Equivalent sheets give the same text, whatever the order of their rows, and
 * `parseSheet` parses the text back to the sheet.
 *
 * @param sheet - A valid sheet.
 * @returns CSV text with a header row and a line feed after each row.
 *
 * @example
 * serializeSheet(sheet).split('\n')[0] // => 'record,name,weight,...'
 */
export const serializeSheet = (sheet: Sheet): string => {
  const canonical = canonicalizeSheet(sheet)
  const rows = recordKinds.flatMap((kind) => writers[kind](canonical).map((cells) => writeRow({ ...cells, record: kind })))
  return [sheetColumns.join(','), ...rows, ''].join('\n')
}

const writeRow = (cells: Cells): string => sheetColumns.map((column) => cells[column] ?? '').join(',')

const writeFlag = (flag: boolean): string => flag ? 'yes' : 'no'
