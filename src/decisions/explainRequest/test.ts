import { describe, expect, test } from 'vitest'
import { explainRequest } from './index.js'
import type { LogRecord } from './index.js'

const createRecord = (event: string, time: number, fields: Readonly<Record<string, unknown>> = {}, node: string = 'n1'): LogRecord => ({ event, node, time, fields })

const records = [
  createRecord('request ended', 10_300, { requestId: 'r1' }),
  createRecord('request sent', 10_000, { requestId: 'r1', backendServer: 's1' }),
  createRecord('request sent', 10_000, { requestId: 'r2', backendServer: 's1' }),
  createRecord('backend server held', 10_200, { backendServer: 's1' }),
  createRecord('backend server held', 10_200, { backendServer: 's2' }),
  createRecord('configuration source lost', 9_000),
  createRecord('configuration source lost', 9_000, {}, 'n2'),
  createRecord('configuration in force', 1_000)
]

describe('explainRequest', () => {
  test('lists the steps of the request in chronological order', () => expect(explainRequest(records, 'r1').steps.map(({ event }) => event)).toEqual(['request sent', 'request ended']))
  test('lists the state changes of its node that concern its server or no particular server', () => {
    expect(explainRequest(records, 'r1').stateChanges.map(({ event, time }) => [event, time])).toEqual([['configuration source lost', 9_000], ['backend server held', 10_200]])
  })
  test('lists why a request waited and was refused', () => {
    const waiting = [createRecord('request ended', 40, { requestId: 'r5', reason: 'waitTooLong', expectedWaitMs: 900 }), createRecord('request waits', 10, { requestId: 'r5', queueLength: 7 })]
    expect(explainRequest(waiting, 'r5').steps.map(({ event }) => event)).toEqual(['request waits', 'request ended'])
  })
  test('returns nothing for an unknown id', () => expect(explainRequest(records, 'r9')).toEqual({ steps: [], stateChanges: [] }))
})
