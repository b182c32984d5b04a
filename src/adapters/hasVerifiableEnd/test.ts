import { expect, test } from 'vitest'
import { hasVerifiableEnd } from './index.js'

test.each([
  ['GET', 200, {}, false],
  ['GET', 200, { 'content-length': '0' }, true],
  ['GET', 200, { 'transfer-encoding': 'Chunked' }, true],
  ['GET', 200, { 'transfer-encoding': 'identity' }, false],
  ['HEAD', 200, {}, true],
  ['DELETE', 204, {}, true],
  ['GET', 304, {}, true]
] as const)('%s with status %i and %j: %s', (method, status, headers, expected) => {
  expect(hasVerifiableEnd(method, status, headers)).toBe(expected)
})
