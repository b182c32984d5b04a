/**
 * Reads single cells. A cell that cannot be parsed is reported and gets a
 * placeholder value, so that the rest of the sheet is still checked.
 */
import { parseIsoTime } from '../../../kernel/index.js'
import type { SheetColumn } from '../../../types/index.js'
import type { SheetRow } from './sheetColumns.js'

export type CellReader = {
  readonly readName: (column: SheetColumn) => string
  /** Returns which of two columns the row fills; the first when neither is filled. Reports a problem when both are. */
  readonly readFilledColumn: <First extends SheetColumn, Second extends SheetColumn>(first: First, second: Second) => First | Second
  readonly readModel: () => string | undefined
  readonly readPath: () => string | undefined
  readonly readUrl: () => string
  readonly readNumber: (column: SheetColumn, range: NumberRange) => number
  readonly readFlag: (column: SheetColumn, whenBlank: boolean) => boolean
  readonly readChoice: <Choice extends string>(column: SheetColumn, choices: readonly Choice[], whenBlank?: Choice) => Choice
  readonly readKeyHashes: () => readonly string[]
  readonly readTime: (column: SheetColumn) => number | undefined
}

export type NumberRange = {
  readonly above?: number
  readonly from?: number
  readonly upTo: number
  readonly whole?: boolean
  readonly whenBlank: number
}

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/
const MODEL = /^[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}$/
const PATH = /^\/[A-Za-z0-9._~/-]{0,255}$/
const KEY_HASH = /^[0-9a-f]{64}$/
const DECIMAL = /^\d+(\.\d+)?$/
const MAXIMUM_KEYS = 4
const flags: Readonly<Record<string, boolean>> = { yes: true, no: false }

type Report = (column: SheetColumn, message: string) => void

export const createCellReader = (row: SheetRow, report: Report): CellReader => {
  const cell = (column: SheetColumn): string => row.cells.get(column) ?? ''

  const readMatching = (column: SheetColumn, pattern: RegExp, rule: string): string => {
    const text = cell(column)
    if (text === '') report(column, `${column} is missing`)
    else if (!pattern.test(text)) report(column, `${column} "${shorten(text)}" must be ${rule}`)
    return text
  }

  return {
    readName: (column) => readMatching(column, NAME, '1 to 64 letters, digits, dots, underscores or hyphens, and start with a letter or digit'),
    readFilledColumn: (first, second) => {
      if (cell(second) === '') return first
      if (cell(first) !== '') report(second, `${second} must be blank where ${first} is given`)
      return second
    },
    readModel: () => cell('model') === '' ? undefined : readMatching('model', MODEL, '1 to 128 letters, digits or . _ : / @ -'),
    readPath: () => cell('path') === '' ? undefined : readMatching('path', PATH, 'a path that starts with / and has no query'),
    readUrl: () => {
      const text = readMatching('url', /./, '')
      if (text !== '' && !isOrigin(text)) report('url', `url "${shorten(text)}" must be an origin such as http://10.0.1.4:8000, without path, query or password`)
      return isOrigin(text) ? new URL(text).origin : text
    },
    readNumber: (column, range) => {
      const text = cell(column)
      if (text === '') return range.whenBlank
      const value = DECIMAL.test(text) ? Number(text) : NaN
      if (isInRange(value, range)) return value
      report(column, `${column} "${shorten(text)}" must be ${describeRange(range)}`)
      return range.whenBlank
    },
    readFlag: (column, whenBlank) => {
      const text = cell(column)
      if (text === '') return whenBlank
      const flag = Object.hasOwn(flags, text) ? flags[text] : undefined
      if (flag === undefined) report(column, `${column} "${shorten(text)}" must be yes or no`)
      return flag ?? whenBlank
    },
    readChoice: (column, choices, whenBlank) => {
      const text = cell(column)
      const choice = text === '' ? whenBlank : choices.find((candidate) => candidate === text)
      if (choice !== undefined) return choice
      report(column, text === '' ? `${column} is missing` : `${column} "${shorten(text)}" must be ${choices.join(' or ')}`)
      return choices[0]!
    },
    readKeyHashes: () => {
      const hashes = cell('keySha256').toLowerCase().split(/\s+/).filter((hash) => hash !== '')
      if (hashes.length === 0) report('keySha256', 'keySha256 is missing')
      if (hashes.length > MAXIMUM_KEYS) report('keySha256', `keySha256 has ${hashes.length} hashes; at most ${MAXIMUM_KEYS} may be valid at a time`)
      if (hashes.some((hash) => !KEY_HASH.test(hash))) report('keySha256', 'keySha256 must be SHA-256 hashes of 64 hexadecimal digits, separated by a space')
      return hashes
    },
    readTime: (column) => {
      const text = cell(column)
      if (text === '') return undefined
      const time = parseIsoTime(text)
      if (time === undefined) report(column, `${column} "${shorten(text)}" must be an ISO 8601 time with its offset, such as 2026-03-02T22:00:00+01:00`)
      return time
    }
  }
}

const MAXIMUM_SHOWN = 60

const shorten = (text: string): string => text.length <= MAXIMUM_SHOWN ? text : `${text.slice(0, MAXIMUM_SHOWN)}...`

const isOrigin = (text: string): boolean => {
  if (!URL.canParse(text)) return false
  const url = new URL(text)
  const isHttp = url.protocol === 'http:' || url.protocol === 'https:'
  const isBare = url.pathname === '/' && url.search === '' && url.hash === '' && url.username === '' && url.password === ''
  return isHttp && isBare
}

const isInRange = (value: number, range: NumberRange): boolean => {
  if (Number.isNaN(value) || value > range.upTo) return false
  if (range.whole === true && !Number.isInteger(value)) return false
  if (range.above !== undefined && value <= range.above) return false
  return range.from === undefined || value >= range.from
}

const describeRange = (range: NumberRange): string => {
  const kind = range.whole === true ? 'a whole number' : 'a number'
  const lower = range.above === undefined ? `from ${range.from ?? 0}` : `above ${range.above}`
  return `${kind} ${lower}, up to ${range.upTo}`
}
