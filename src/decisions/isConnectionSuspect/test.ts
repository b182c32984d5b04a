import { expect, test } from 'vitest'
import { isConnectionSuspect } from './index.js'

test.each([
  [undefined, false],
  [{ kind: 'notFound' }, false],
  [{ kind: 'unavailable', message: 'no reply' }, false],
  [{ kind: 'unavailable', message: 'no reply', isConnectionSuspect: false }, false],
  [{ kind: 'unavailable', message: 'no reply', isConnectionSuspect: true }, true]
] as const)('isConnectionSuspect: %j is %s', (error, expected) => expect(isConnectionSuspect(error)).toBe(expected))
