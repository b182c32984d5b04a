/** Reads the record of each kind from the cells of a row. */
import type { PlannedStopTarget, Sheet, SheetRecordKind } from '../../../types/index.js'
import type { CellReader } from './readCells.js'
import { recordLists } from './sheetColumns.js'

export const DEFAULT_WEIGHT = 1
export const DEFAULT_LOAD_LIMIT = 1.5
export const DEFAULT_LOAD_TARGET = 1.26
export const DEFAULT_SLOTS = 8
export const DEFAULT_DEADLINE_SECONDS = 60

/** Smaller numbers would be serialized with an exponent, which the sheet format does not allow. */
const MINIMUM_FRACTION = 0.001
const MAXIMUM_WEIGHT = 1_000_000
const MAXIMUM_LOAD_MULTIPLE = 100
const MAXIMUM_SLOTS = 100_000
const MAXIMUM_DEADLINE_SECONDS = 86_400

/** A sheet under construction, with mutable lists. */
export type SheetBuilder = { readonly [List in keyof Sheet]: Sheet[List][number][] }

type RecordReader = (cells: CellReader, sheet: SheetBuilder) => void

const readClientAccount: RecordReader = (cells, sheet) => {
  sheet.clientAccounts.push({
    name: cells.readName('name'),
    weight: cells.readNumber('weight', { from: MINIMUM_FRACTION, upTo: MAXIMUM_WEIGHT, whenBlank: DEFAULT_WEIGHT }),
    keyHashes: cells.readKeyHashes()
  })
}

const readService: RecordReader = (cells, sheet) => {
  sheet.services.push({
    name: cells.readName('name'),
    kind: cells.readChoice('kind', ['model', 'plain']),
    loadLimit: cells.readNumber('loadLimit', { above: 1, upTo: MAXIMUM_LOAD_MULTIPLE, whenBlank: DEFAULT_LOAD_LIMIT }),
    loadTarget: cells.readNumber('loadTarget', { from: 1, upTo: MAXIMUM_LOAD_MULTIPLE, whenBlank: DEFAULT_LOAD_TARGET })
  })
}

const readBackendServer: RecordReader = (cells, sheet) => {
  sheet.backendServers.push({
    name: cells.readName('name'),
    service: cells.readName('service'),
    url: cells.readUrl(),
    availabilityZone: cells.readName('availabilityZone'),
    slots: cells.readNumber('slots', { from: 1, upTo: MAXIMUM_SLOTS, whole: true, whenBlank: DEFAULT_SLOTS })
  })
}

const readRoute: RecordReader = (cells, sheet) => {
  const model = cells.readModel()
  const path = cells.readPath()
  sheet.routes.push({
    name: cells.readName('name'),
    service: cells.readName('service'),
    ...(model === undefined ? {} : { model }),
    ...(path === undefined ? {} : { path }),
    repeatable: cells.readFlag('repeatable', true),
    backendIdempotent: cells.readFlag('backendIdempotent', false),
    deadlineSeconds: cells.readNumber('deadlineSeconds', { from: MINIMUM_FRACTION, upTo: MAXIMUM_DEADLINE_SECONDS, whenBlank: DEFAULT_DEADLINE_SECONDS }),
    priority: cells.readChoice('priority', ['interactive', 'overnight'], 'interactive')
  })
}

const readStopTarget = (cells: CellReader): PlannedStopTarget => {
  const column = cells.readFilledColumn('backendServer', 'availabilityZone')
  return column === 'availabilityZone' ? { availabilityZone: cells.readName(column) } : { backendServer: cells.readName('backendServer') }
}

const readPlannedStop: RecordReader = (cells, sheet) => {
  const startsAt = cells.readTime('startsAt')
  const endsAt = cells.readTime('endsAt')
  sheet.plannedStops.push({
    name: cells.readName('name'),
    ...readStopTarget(cells),
    startsAt: startsAt ?? NaN,
    ...(endsAt === undefined ? {} : { endsAt })
  })
}

export const recordReaders: Readonly<Record<SheetRecordKind, RecordReader>> = {
  clientAccount: readClientAccount,
  service: readService,
  backendServer: readBackendServer,
  route: readRoute,
  plannedStop: readPlannedStop
}

export const countRecords = (sheet: SheetBuilder, kind: SheetRecordKind): number => sheet[recordLists[kind]].length
