import { expect, test } from 'vitest'
import { readSheetLayout } from './index.js'

test('has no servers before the first configuration', () => {
  expect(readSheetLayout(undefined)).toEqual({ generation: 0, servers: [] })
})
