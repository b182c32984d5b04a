/**
 * Defines the columns of a sheet, the columns that each record kind uses, and the
 * list of a `Sheet` that holds its records.
 */
import type { Sheet, SheetColumn, SheetRecordKind } from '../../../types/index.js'

export const sheetColumns: readonly SheetColumn[] = [
  'record', 'name', 'weight', 'keySha256', 'kind', 'loadLimit', 'loadTarget', 'service', 'url',
  'availabilityZone', 'slots', 'model', 'path', 'repeatable', 'backendIdempotent', 'deadlineSeconds',
  'priority', 'backendServer', 'startsAt', 'endsAt'
]

export const recordLists: Readonly<Record<SheetRecordKind, keyof Sheet>> = {
  clientAccount: 'clientAccounts',
  service: 'services',
  backendServer: 'backendServers',
  route: 'routes',
  plannedStop: 'plannedStops'
}

export const recordKinds = Object.keys(recordLists) as readonly SheetRecordKind[]

export const recordColumns: Readonly<Record<SheetRecordKind, readonly SheetColumn[]>> = {
  clientAccount: ['record', 'name', 'weight', 'keySha256'],
  service: ['record', 'name', 'kind', 'loadLimit', 'loadTarget'],
  backendServer: ['record', 'name', 'service', 'url', 'availabilityZone', 'slots'],
  route: ['record', 'name', 'service', 'model', 'path', 'repeatable', 'backendIdempotent', 'deadlineSeconds', 'priority'],
  plannedStop: ['record', 'name', 'availabilityZone', 'backendServer', 'startsAt', 'endsAt']
}

/** A row of the file, with trimmed cells by column. */
export type SheetRow = {
  readonly line: number
  readonly cells: ReadonlyMap<SheetColumn, string>
}

export const isSheetColumn = (name: string): name is SheetColumn => (sheetColumns as readonly string[]).includes(name)

export const isRecordKind = (name: string): name is SheetRecordKind => (recordKinds as readonly string[]).includes(name)
