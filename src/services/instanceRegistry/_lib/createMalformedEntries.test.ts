import { describe, expect, test } from 'vitest'
import { createMalformedEntries } from './createMalformedEntries.js'
import type { LogFields } from '../../../types/index.js'

const start = () => {
  const lines: LogFields[] = []
  return { lines, ...createMalformedEntries({ warn: (_message, fields) => { lines.push(fields ?? {}) } }) }
}

describe('createMalformedEntries', () => {
  // A server writes its entry every second.
  test('logs a name once, with the reason', () => {
    const { lines, report } = start()
    for (let revision = 1; revision < 4; revision++) report('i-1', 'slots Invalid input', revision)
    expect(lines).toEqual([{ backendServer: 'i-1', reason: 'slots Invalid input', revision: 1 }])
  })
  // Another program may write a name of a megabyte.
  test('bounds the length of a line', () => {
    const { lines, report } = start()
    report('n'.repeat(1_000_000), 'p'.repeat(1_000_000), 1)
    expect(JSON.stringify(lines).length).toBeLessThan(1_000)
  })
})
