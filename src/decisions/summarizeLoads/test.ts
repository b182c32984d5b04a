import { describe, expect, it } from 'vitest'
import { summarizeLoads } from './index.js'
import type { LogRecord } from '../explainRequest/index.js'

const createRecord = (event: string, time: number, fields: LogRecord['fields']): LogRecord => ({ event, node: 'node-1', time, fields })

const createSend = (id: number, time: number, backendServer: string, changes: LogRecord['fields'] = {}): LogRecord =>
  createRecord('request sent', time, { requestId: `request-${id}`, service: 'plain', backendServer, load: 0, loadAgeMs: 100, ...changes })

const ADDED = ['i-1', 'i-2'].map((backendServer) => createRecord('backend server added', 0, { backendServer, service: 'plain' }))

describe('summarizeLoads', () => {
  it('counts sends to a server over the limit', () => {
    const records = [...ADDED, ...[1, 2, 3, 4].map((id) => createSend(id, id, 'i-1'))]
    const [summary] = summarizeLoads(records, { factor: 1, slack: 1 })
    expect(summary).toMatchObject({ service: 'plain', backendServers: 2, sends: 4, sendsOverLimit: 3, worstShare: 0.75 })
  })

  it('ends a request at its outcome and at its next send', () => {
    const records = [...ADDED, createSend(1, 1, 'i-1'), createSend(1, 2, 'i-2'), createRecord('request complete', 3, { requestId: 'request-1' }), createSend(2, 4, 'i-1')]
    expect(summarizeLoads(records)[0]).toMatchObject({ meanLoad: 0, meanError: 0 })
  })

  it('compares the believed loads with the true ones', () => {
    const records = [...ADDED, createSend(1, 1, 'i-1', { load: 4 }), createSend(2, 2, 'i-1', { load: 1 })]
    expect(summarizeLoads(records)[0]!.meanError).toBe(2)
  })

  it('tells the age of the sums, and sends without one', () => {
    const records = [...ADDED, createSend(1, 1, 'i-1', { loadAgeMs: 300 }), createSend(2, 2, 'i-2'), createSend(3, 3, 'i-2', { loadAgeMs: undefined })]
    expect(summarizeLoads(records)[0]).toMatchObject({ meanAgeMs: 200, maximumAgeMs: 300, sendsWithoutSum: 1 })
  })

  it('finds the worst window, wherever it begins', () => {
    const quiet = Array.from({ length: 20 }, (_, index) => [createSend(index, 1_000 * index, 'i-1'), createRecord('request complete', 1_000 * index + 1, { requestId: `request-${index}` })]).flat()
    const burst = Array.from({ length: 5 }, (_, index) => createSend(100 + index, 9_500 + index, 'i-2'))
    const [summary] = summarizeLoads([...ADDED, ...quiet, ...burst], { factor: 1, slack: 1, windowMs: 1_000 })
    expect(summary!.worstShare).toBeCloseTo(4 / 6)
  })
})
