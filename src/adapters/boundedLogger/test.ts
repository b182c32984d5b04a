import { describe, expect, test } from 'vitest'
import { createBoundedLogger } from './index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { gatewayEvents } from '../../types/gatewayEvents.js'
import type { LogFields, Logger } from '../../types/index.js'

const createRecord = () => {
  const lines: { readonly event: string, readonly fields: LogFields | undefined }[] = []
  const write = (event: string, fields?: LogFields): void => { lines.push({ event, fields }) }
  const logger: Logger = { error: write, warn: write, info: write, debug: write }
  const clock = createManualClock()
  return { lines, clock, bounded: createBoundedLogger({ clock, logger }) }
}

const repeat = (count: number, action: () => void): void => { for (let index = 0; index < count; index++) action() }

describe('createBoundedLogger', () => {
  test('writes at most the lines per second of an event', () => {
    const { lines, bounded } = createRecord()
    repeat(1_000, () => bounded.info('request sent'))
    expect(lines).toHaveLength(gatewayEvents['request sent'].linesPerSecond)
  })

  test('writes failures while lines of successes are left out', () => {
    const { lines, bounded } = createRecord()
    repeat(1_000, () => bounded.info('request complete'))
    bounded.info('request ended')
    expect(lines.at(-1)?.event).toBe('request ended')
  })

  test('reports in the next second how many lines were left out', () => {
    const { lines, clock, bounded } = createRecord()
    const lineCount = gatewayEvents['request sent'].linesPerSecond
    repeat(lineCount + 7, () => bounded.info('request sent'))
    clock.advance(1_000)
    bounded.info('request sent')
    expect(lines.find(({ event }) => event === 'log lines left out')?.fields).toEqual({ 'count of request sent': 7 })
  })
})
