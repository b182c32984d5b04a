/**
 * Parses CSV text into rows with cells by column name, and reports problems of
 * the file format (quotes, header, number of cells).
 */
import { parse, CsvError } from 'csv-parse/sync'
import { isSheetColumn, sheetColumns, type SheetRow } from './sheetColumns.js'
import type { SheetColumn, SheetProblem } from '../../../types/index.js'

type CsvLine = { readonly line: number, readonly cells: readonly string[] }

export type SheetRows = {
  readonly rows: readonly SheetRow[]
  /** Position of each column in the header, from 1. */
  readonly columnNumbers: ReadonlyMap<SheetColumn, number>
  readonly problems: readonly SheetProblem[]
}

export const readRows = (text: string): SheetRows => {
  const csv = readCsv(text)
  if ('problem' in csv) return withoutRows([csv.problem])
  const header = csv.lines[0]
  if (header === undefined) return withoutRows([{ line: 1, column: 1, message: `the sheet is empty; its first row must be the header: ${sheetColumns.join(',')}` }])
  const headerProblems = checkHeader(header)
  if (headerProblems.length > 0) return withoutRows(headerProblems)
  const columns = header.cells as readonly SheetColumn[]
  const body = csv.lines.slice(1)
  return {
    rows: body.map((line) => toRow(line, columns)),
    columnNumbers: new Map(columns.map((column, index) => [column, index + 1])),
    problems: body.flatMap((line) => checkCellCount(line, columns.length))
  }
}

const withoutRows = (problems: readonly SheetProblem[]): SheetRows => ({ rows: [], columnNumbers: new Map(), problems })

const readCsv = (text: string): { readonly lines: readonly CsvLine[] } | { readonly problem: SheetProblem } => {
  try {
    const records = parse(text, { bom: true, info: true, relax_column_count: true, trim: true }) as unknown as readonly { record: string[], info: { lines: number } }[]
    const lines = records.map(({ record, info }) => ({ line: info.lines, cells: record }))
    return { lines: lines.filter((line) => line.cells.some((cell) => cell !== '')) }
  } catch (error) {
    if (!(error instanceof CsvError)) throw error
    const line = typeof error['lines'] === 'number' ? error['lines'] : 1
    return { problem: { line, column: 1, message: `not readable as CSV: ${error.message}` } }
  }
}

const checkHeader = (header: CsvLine): readonly SheetProblem[] => {
  const problem = (column: number, message: string): SheetProblem => ({ line: header.line, column, message })
  const first = header.cells[0] ?? ''
  if (header.cells.length === 1 && /[;\t]/.test(first)) return [problem(1, 'cells must be separated by commas, not by semicolons or tabs')]
  const unknown = header.cells.flatMap((name, index) => isSheetColumn(name) ? [] : [problem(index + 1, `unknown column "${name}"`)])
  const duplicates = header.cells.flatMap((name, index) => header.cells.indexOf(name) < index ? [problem(index + 1, `column "${name}" stands twice`)] : [])
  const missing = sheetColumns.filter((name) => !header.cells.includes(name)).map((name) => problem(header.cells.length + 1, `column "${name}" is missing`))
  return [...unknown, ...duplicates, ...missing]
}

const checkCellCount = (line: CsvLine, expected: number): readonly SheetProblem[] => {
  if (line.cells.length === expected) return []
  const column = Math.min(line.cells.length, expected) + 1
  return [{ line: line.line, column, message: `the row has ${line.cells.length} cells, the header has ${expected}` }]
}

const toRow = (line: CsvLine, columns: readonly SheetColumn[]): SheetRow => ({
  line: line.line,
  cells: new Map(columns.map((column, index) => [column, line.cells[index] ?? '']))
})
