import { describe, expect, it } from 'vitest'
import { compareSheets } from './index.js'
import type { Sheet } from '../../types/index.js'

const KEY = 'ab'.repeat(32)

const createSheet = (weight: number, keyHashes: readonly string[] = [KEY]): Sheet => ({
  clientAccounts: [{ name: 'podlipan', weight, keyHashes }],
  services: [],
  backendServers: [],
  routes: [],
  plannedStops: []
})

describe('compareSheets', () => {
  it('finds no difference when only the order of the keys differs', () => {
    const other = 'cd'.repeat(32)
    expect(compareSheets(createSheet(1, [KEY, other]), createSheet(1, [other, KEY]))).toEqual([])
  })

  it('shows a changed record before and after', () => {
    expect(compareSheets(createSheet(1), createSheet(2))).toEqual([
      { record: 'clientAccounts', name: 'podlipan', before: 'keyHashes=abababab... weight=1', after: 'keyHashes=abababab... weight=2' }
    ])
  })

  it('shows a new record without `before` and a removed one without `after`', () => {
    const empty = { ...createSheet(1), clientAccounts: [] }
    expect(compareSheets(undefined, createSheet(1))[0]).not.toHaveProperty('before')
    expect(compareSheets(createSheet(1), empty)[0]).not.toHaveProperty('after')
  })

  it('never shows a complete key hash', () => {
    expect(JSON.stringify(compareSheets(undefined, createSheet(1)))).not.toContain(KEY)
  })
})
