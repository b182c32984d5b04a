import { Writable } from 'node:stream'
import { describe, expect, test } from 'vitest'
import { createDeferredLogger } from './index.js'
import { createWinstonLogger } from '../winstonLogger/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'

const DELAY_MS = 500

const createLines = () => {
  const lines: Record<string, unknown>[] = []
  const stream = new Writable({
    write: (chunk: Buffer, _encoding, callback) => {
      lines.push(JSON.parse(chunk.toString('utf8')) as Record<string, unknown>)
      callback()
    }
  })
  return { lines, stream }
}

describe('createDeferredLogger', () => {
  test('writes buffered lines in order, with their original timestamps', async () => {
    const clock = createManualClock()
    const { lines, stream } = createLines()
    const logger = createDeferredLogger({ load: async () => createWinstonLogger({ level: 'info', fields: { node: 'n' }, stream }), delayMs: DELAY_MS, clock, onFailure: () => {} })
    const before = new Date().toISOString()
    logger.info('gateway started', { zone: 'a' })
    const after = new Date().toISOString()
    await new Promise((resolve) => { setTimeout(resolve, 5) })
    expect(lines).toEqual([])
    await clock.advanceAndSettle(DELAY_MS)
    logger.warn('configuration source lost')
    expect(lines.map(({ level, message, node, zone }) => ({ level, message, node, zone }))).toEqual([
      { level: 'info', message: 'gateway started', node: 'n', zone: 'a' },
      { level: 'warn', message: 'configuration source lost', node: 'n', zone: undefined }
    ])
    expect(String(lines[0]?.timestamp) >= before && String(lines[0]?.timestamp) <= after).toBe(true)
  })
})
