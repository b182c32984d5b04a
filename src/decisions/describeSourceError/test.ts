import { describe, expect, test } from 'vitest'
import { describeSourceError } from './index.js'

describe('describeSourceError', () => {
  test('returns the message', () => expect(describeSourceError({ kind: 'unavailable', message: 'status 503' })).toBe('status 503'))
  test('returns the kind where there is no message', () => expect(describeSourceError({ kind: 'historyGone' })).toBe('historyGone'))
})
