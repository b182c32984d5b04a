import { describe, expect, test } from 'vitest'
import { summarizeLog } from './index.js'
import type { LogRecord } from '../explainRequest/index.js'

const createRecord = (event: string, time: number, fields: LogRecord['fields']): LogRecord => ({ event, node: 'node-1', time, fields })

const complete = (time: number): LogRecord => createRecord('request complete', time, { outcome: 'complete', status: 200 })

const refused = (time: number, reason: string): LogRecord => createRecord('request ended', time, { outcome: 'refused', reason, status: 503 })

describe('summarizeLog', () => {
  test('counts requests by outcome, the most frequent first', () => {
    const { outcomes } = summarizeLog([refused(0, 'staleKeys'), complete(1), complete(2), refused(3, 'noInstance')])
    expect(outcomes).toEqual([
      { outcome: 'complete', reason: '', status: '', requests: 2 },
      { outcome: 'refused', reason: 'staleKeys', status: '503', requests: 1 },
      { outcome: 'refused', reason: 'noInstance', status: '503', requests: 1 }
    ])
  })

  test('counts by period from the first ended request, in chronological order', () => {
    const { periods } = summarizeLog([complete(5_400), complete(5_000), refused(6_100, 'deadline')], { periodMs: 500 })
    expect(periods).toEqual([{ from: 5_000, complete: 2, ended: 0 }, { from: 6_000, complete: 0, ended: 1 }])
  })

  test('ignores lines that end no request', () => {
    expect(summarizeLog([createRecord('request sent', 0, { requestId: 'r1' })])).toMatchObject({ outcomes: [], periods: [] })
  })

  test('sums the lines that were left out', () => {
    const records = [createRecord('log lines left out', 0, { 'count of request complete': 4 }), createRecord('log lines left out', 1, { 'count of request complete': 3, level: 'warn' })]
    expect([...summarizeLog(records).leftOut]).toEqual([['request complete', 7]])
  })
})
