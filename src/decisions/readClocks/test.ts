import { expect, test } from 'vitest'
import { readClocks } from './index.js'

test('readClocks reads each clock once', () => {
  expect(readClocks({ monotonic: () => 1, wall: () => 2, boot: () => 3 })).toEqual({ monotonic: 1, wall: 2, boot: 3 })
})
