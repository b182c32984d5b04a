import { parseIsoTime } from '../../kernel/index.js'
import type { LogRecord } from '../explainRequest/index.js'

const parseObject = (text: string): Readonly<Record<string, unknown>> | undefined => {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === 'object' && value !== null ? value as Readonly<Record<string, unknown>> : undefined
  } catch {
    // The same files contain lines of other programs, which are not log records.
    return undefined
  }
}

/**
 * Parses one line of a node's log. A prefix that a log collector put before the JSON object is ignored.
 *
 * @param line - The line.
 * @returns The record, or `undefined` when the line is not a log record.
 *
 * @example
 * parseLogLine('not a record') // => undefined
 */
export const parseLogLine = (line: string): LogRecord | undefined => {
  const start = line.indexOf('{')
  const fields = start < 0 ? undefined : parseObject(line.slice(start))
  if (fields === undefined) return undefined
  const { message, node, timestamp, ...rest } = fields
  const time = parseIsoTime(String(timestamp))
  if (typeof message !== 'string' || time === undefined) return undefined
  return { event: message, node: String(node), time, fields: rest }
}
