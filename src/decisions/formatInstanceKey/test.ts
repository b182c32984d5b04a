import { expect, test } from 'vitest'
import { formatInstanceKey } from './index.js'

test('formatInstanceKey tells two starts under one id apart', () => {
  expect(formatInstanceKey({ id: 'i-1', incarnation: 7 })).not.toBe(formatInstanceKey({ id: 'i-1', incarnation: 8 }))
})
