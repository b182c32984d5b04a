import { describe, expect, test } from 'vitest'
import { patchRecords } from './index.js'

const [ONE, TWO, THREE] = ['one', 'two', 'three'].map((name) => ({ name }))

describe('patchRecords', () => {
  test('keeps unchanged records the same objects', () => {
    expect(patchRecords({ routes: [ONE, TWO] }, { routes: [{ from: 1, count: 1 }, { records: [THREE] }] })?.['routes']?.[0]).toBe(TWO)
  })

  test.each([
    ['beyond the last record', { from: 1, count: 2 }],
    ['before the first', { from: -2, count: 1 }],
    ['of a negative length', { from: 0, count: -1 }]
  ])('refuses a run %s', (_name, step) => {
    expect(patchRecords({ routes: [ONE, TWO] }, { routes: [step] })).toBeUndefined()
  })
})
