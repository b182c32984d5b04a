import { describe, expect, test } from 'vitest'
import { patchRecords } from './index.js'

const [ONE, TWO, THREE] = ['one', 'two', 'three'].map((name) => ({ name }))

describe('patchRecords', () => {
  test('reuses the objects of unchanged records', () => {
    expect(patchRecords({ routes: [ONE, TWO] }, { routes: [{ from: 1, count: 1 }, { records: [THREE] }] })?.['routes']?.[0]).toBe(TWO)
  })

  test.each([
    ['that ends after the last record', { from: 1, count: 2 }],
    ['that starts before the first record', { from: -2, count: 1 }],
    ['of a negative length', { from: 0, count: -1 }]
  ])('rejects a run %s', (_name, step) => {
    expect(patchRecords({ routes: [ONE, TWO] }, { routes: [step] })).toBeUndefined()
  })
})
