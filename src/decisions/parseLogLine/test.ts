import { describe, expect, test } from 'vitest'
import { parseLogLine } from './index.js'

const LINE = '{"level":"info","message":"request sent","node":"n1","requestId":"r1","timestamp":"2026-01-14T00:43:58.325Z"}'

describe('parseLogLine', () => {
  test('reads event, node, time and fields', () => expect(parseLogLine(LINE)).toEqual({ event: 'request sent', node: 'n1', time: Date.parse('2026-01-14T00:43:58.325Z'), fields: { level: 'info', requestId: 'r1' } }))
  test('ignores a prefix that a log collector added', () => expect(parseLogLine(`  7.32 n1 ${LINE}`)?.event).toBe('request sent'))
  test.each(['', 'text', '{"message":1}', '{broken', '{"message":"x","timestamp":"never"}'])('returns undefined for %j', (line) => expect(parseLogLine(line)).toBeUndefined())
})
