/**
 * Parses the operators' sheet: CSV with a header row, then one row per record.
 * Every problem is reported with its position, so that all can be fixed in one
 * pass; a sheet with any problem gives no `Sheet` at all.
 */
import { failure, success } from '../../kernel/index.js'
import { checkSheet } from '../checkSheet/index.js'
import { createCellReader } from './_lib/readCells.js'
import { readRows, type SheetRows } from './_lib/readRows.js'
import { countRecords, recordReaders, type SheetBuilder } from './_lib/readRecords.js'
import { isRecordKind, recordColumns, recordKinds, recordLists, type SheetRow } from './_lib/sheetColumns.js'
import type { Result, Sheet, SheetColumn, SheetProblem } from '../../types/index.js'

/** Further problems are counted, not listed: nobody fixes more than this in one pass. */
const MAXIMUM_PROBLEMS = 1_000

/**
 * Parses and validates a complete sheet.
 *
 * A byte order mark, CRLF and blank rows are accepted. Cells are trimmed.
 * Positions are lines of the file and cells of the row, both counted from 1.
 *
 * @param text - The content of a CSV file.
 * @returns The sheet, or every problem found, ordered by line and cell.
 *
 * @example
 * parseSheet('') // => { ok: false, error: [{ line: 1, column: 1, message: 'the sheet is empty; ...' }] }
 */
export const parseSheet = (text: string): Result<Sheet, readonly SheetProblem[]> => {
  const read = readRows(text)
  const problems = [...read.problems]
  if (read.columnNumbers.size === 0) return failure(problems)
  if (read.rows.length === 0) return failure([{ line: 2, column: 1, message: 'the sheet has a header but no records' }])
  const sheet: SheetBuilder = { clientAccounts: [], services: [], backendServers: [], routes: [], plannedStops: [] }
  const rowsOf = new Map<string, SheetRow>()
  for (const row of read.rows) readRecord(row, sheet, rowsOf, problems, read)
  for (const fault of checkSheet(sheet)) {
    const row = rowsOf.get(`${fault.record} ${fault.index}`)
    problems.push({ line: row?.line ?? 1, column: read.columnNumbers.get(fault.column) ?? 1, message: fault.message })
  }
  return problems.length === 0 ? success(sheet) : failure(sortProblems(problems))
}

const readRecord = (row: SheetRow, sheet: SheetBuilder, rowsOf: Map<string, SheetRow>, problems: SheetProblem[], read: SheetRows): void => {
  const report = (column: SheetColumn, message: string): void => {
    problems.push({ line: row.line, column: read.columnNumbers.get(column) ?? 1, message })
  }
  const kind = row.cells.get('record') ?? ''
  if (!isRecordKind(kind)) return report('record', kind === '' ? 'record is missing' : `record "${kind}" must be one of ${recordKinds.join(', ')}`)
  for (const [column, cell] of row.cells) {
    if (cell !== '' && !recordColumns[kind].includes(column)) report(column, `a ${kind} has no ${column}; leave the cell blank`)
  }
  rowsOf.set(`${recordLists[kind]} ${countRecords(sheet, kind)}`, row)
  recordReaders[kind](createCellReader(row, report), sheet)
}

const sortProblems = (problems: readonly SheetProblem[]): readonly SheetProblem[] => {
  const unique = new Map(problems.map((problem) => [`${problem.line} ${problem.column} ${problem.message}`, problem]))
  const sorted = [...unique.values()].sort((one, other) => one.line - other.line || one.column - other.column)
  if (sorted.length <= MAXIMUM_PROBLEMS) return sorted
  const rest = sorted.length - MAXIMUM_PROBLEMS
  return [...sorted.slice(0, MAXIMUM_PROBLEMS), { ...sorted[MAXIMUM_PROBLEMS]!, message: `and ${rest} more problems from here on` }]
}
