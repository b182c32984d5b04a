import { expect, test } from 'vitest'
import { formatInstanceKey } from './index.js'

test('formatInstanceKey distinguishes two runs under one id', () => {
  expect(formatInstanceKey({ id: 'i-1', incarnation: 7 })).not.toBe(formatInstanceKey({ id: 'i-1', incarnation: 8 }))
})
