import { describe, expect, test } from 'vitest'
import { listSharedParts } from './index.js'

describe('listSharedParts', () => {
  test('leaves out the last part', () => {
    const parts = ['a', 'b', 'c'].map((id) => ({ id, tokens: 10 }))
    expect(listSharedParts(parts).map(({ id }) => id)).toEqual(['a', 'b'])
  })

  test('lists none of a prompt without parts', () => expect(listSharedParts([])).toEqual([]))
})
