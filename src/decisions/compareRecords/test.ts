import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { compareRecords } from './index.js'
import { patchRecords } from '../patchRecords/index.js'

const SEED = 20_612

const createRecords = (count: number): readonly object[] => Array.from({ length: count }, (_, place) => ({ name: `route-${place}` }))

const RECORDS = createRecords(12)

describe('compareRecords', () => {
  test('copies the unchanged runs and sends the new record when one of many changed', () => {
    const base = createRecords(1_200)
    const changed = { name: 'route-700', isChanged: true }
    expect(compareRecords({ routes: base }, { routes: base.with(700, changed) })).toEqual({
      routes: [{ from: 0, count: 700 }, { records: [changed] }, { from: 701, count: 499 }]
    })
  })

  test('lists all records of a new section', () => {
    expect(compareRecords({}, { tenants: RECORDS.slice(0, 2) })).toEqual({ tenants: [{ records: RECORDS.slice(0, 2) }] })
  })

  test('omits a removed section', () => {
    const base = { routes: RECORDS, tenants: RECORDS }
    expect(patchRecords(base, compareRecords(base, { routes: RECORDS }))).toEqual({ routes: RECORDS })
  })

  test('gives a change that patches any records into any others', () => {
    const lists = fc.array(fc.constantFrom(...RECORDS), { maxLength: 20 })
    const sections = fc.record({ routes: lists, services: lists }, { requiredKeys: [] })
    fc.assert(fc.property(sections, sections, (base, next) => {
      expect(patchRecords(base, compareRecords(base, next))).toEqual(next)
    }), { seed: SEED })
  })
})
