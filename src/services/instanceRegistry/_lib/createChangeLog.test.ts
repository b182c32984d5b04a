import { describe, expect, test } from 'vitest'
import { createChangeLog } from './createChangeLog.js'

const list = (names: ReadonlySet<string> | undefined): readonly string[] | undefined => names === undefined ? undefined : [...names]

describe('createChangeLog', () => {
  test('lists what changed since a position, each name once', () => {
    const log = createChangeLog(1)
    log.record('engine-1')
    const position = log.position()
    for (const name of ['engine-2', 'engine-3', 'engine-2']) log.record(name)
    expect(list(log.listSince(position))).toEqual(['engine-2', 'engine-3'])
  })

  test('lists nothing when nothing changed since', () => {
    const log = createChangeLog(1)
    log.record('engine-1')
    expect(list(log.listSince(log.position()))).toEqual([])
  })

  test.each([
    ['no position', undefined],
    ['a position of another log', { origin: 2, sequence: 0 }],
    ['a position ahead of its end', { origin: 1, sequence: 9 }]
  ])('returns undefined for %s', (_name, position) => {
    const log = createChangeLog(1)
    log.record('engine-1')
    expect(log.listSince(position)).toBeUndefined()
  })

  test('returns undefined for a position that it does not reach back to', () => {
    const log = createChangeLog(1)
    const position = log.position()
    for (let change = 0; change <= 2_000; change++) log.record(`engine-${change}`)
    expect(log.listSince(position)).toBeUndefined()
  })
})
