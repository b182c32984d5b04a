import { expect, test } from 'vitest'
import { describeError } from './index.js'

test.each([[new TypeError('Invalid URL'), 'TypeError: Invalid URL'], ['a text', 'a text'], [undefined, 'undefined']])('describes %s', (thrown, description) => {
  expect(describeError(thrown)).toBe(description)
})
