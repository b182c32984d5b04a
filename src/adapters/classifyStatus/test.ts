import { expect, test } from 'vitest'
import { classifyStatus } from './index.js'

test.each([[0, 'invalid'], [99, 'invalid'], [100, 'informational'], [199, 'informational'], [200, 'final'], [599, 'final'], [600, 'invalid'], [999, 'invalid']] as const)('%i is %s', (status, expected) => {
  expect(classifyStatus(status)).toBe(expected)
})
