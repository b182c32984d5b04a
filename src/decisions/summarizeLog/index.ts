/** Summarizes the outcomes of the requests in a log, by cause and over time. */
import type { LogRecord } from '../explainRequest/index.js'

/** Number of requests with the same outcome, reason and status. */
export type OutcomeCount = {
  readonly outcome: string
  /** Reason of the outcome; empty for complete requests. */
  readonly reason: string
  readonly status: string
  readonly requests: number
}

/** Counts of one period; `from` is its start in wall-clock milliseconds. */
export type OutcomePeriod = { readonly from: number, readonly complete: number, readonly ended: number }

export type LogSummary = {
  /** Most frequent first. */
  readonly outcomes: readonly OutcomeCount[]
  readonly periods: readonly OutcomePeriod[]
  /** Lines of each event that the logger omitted because of its rate limit; the counts above don't include them. */
  readonly leftOut: ReadonlyMap<string, number>
}

const ENDS: ReadonlySet<string> = new Set(['request complete', 'request ended'])
const LEFT_OUT_EVENT = 'log lines left out'
const LEFT_OUT_FIELD = /^count of (.+)$/

const readField = ({ fields }: LogRecord, name: string): string => fields[name] === undefined ? '' : String(fields[name])

const countOutcomes = (ends: readonly LogRecord[]): readonly OutcomeCount[] => {
  const counts = new Map<string, OutcomeCount>()
  for (const end of ends) {
    const outcome = readField(end, 'outcome')
    const reason = readField(end, 'reason')
    const status = outcome === 'complete' ? '' : readField(end, 'status')
    const key = [outcome, reason, status].join(' ')
    counts.set(key, { outcome, reason, status, requests: (counts.get(key)?.requests ?? 0) + 1 })
  }
  return [...counts.values()].sort((left, right) => right.requests - left.requests)
}

const countPeriods = (ends: readonly LogRecord[], periodMs: number): readonly OutcomePeriod[] => {
  const first = Math.min(...ends.map(({ time }) => time))
  const periods = new Map<number, OutcomePeriod>()
  for (const end of ends) {
    const from = first + Math.floor((end.time - first) / periodMs) * periodMs
    const { complete, ended } = periods.get(from) ?? { complete: 0, ended: 0 }
    const isComplete = end.event === 'request complete'
    periods.set(from, { from, complete: complete + (isComplete ? 1 : 0), ended: ended + (isComplete ? 0 : 1) })
  }
  return [...periods.values()].sort((left, right) => left.from - right.from)
}

const countLeftOut = (records: readonly LogRecord[]): ReadonlyMap<string, number> => {
  const leftOut = new Map<string, number>()
  for (const { event, fields } of records) {
    if (event !== LEFT_OUT_EVENT) continue
    for (const [field, count] of Object.entries(fields)) {
      const name = LEFT_OUT_FIELD.exec(field)?.[1]
      if (name !== undefined) leftOut.set(name, (leftOut.get(name) ?? 0) + Number(count))
    }
  }
  return leftOut
}

/**
 * Summarizes a log.
 *
 * @param records - The lines of all nodes, in any order.
 * @param options - `periodMs`: length of one period in milliseconds; 1,000 by default.
 * @returns Outcomes by cause, outcomes over time, and the number of omitted lines.
 *
 * @example
 * summarizeLog([]).outcomes // => []
 */
export const summarizeLog = (records: readonly LogRecord[], { periodMs = 1_000 }: { readonly periodMs?: number } = {}): LogSummary => {
  const ends = records.filter(({ event }) => ENDS.has(event))
  return { outcomes: countOutcomes(ends), periods: countPeriods(ends, periodMs), leftOut: countLeftOut(records) }
}
