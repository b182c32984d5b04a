import { describe, expect, test } from 'vitest'
import { selectVerdict } from './index.js'

describe('selectVerdict', () => {
  test('selects the reason that can pass soonest', () => expect(selectVerdict(['regionNotAllowed', 'zoneDrained', 'warmingUp'])).toBe('warmingUp'))
  test('selects open when one server is open', () => expect(selectVerdict(['zoneDrained', 'open'])).toBe('open'))
  test('selects nothing without servers', () => expect(selectVerdict([])).toBeUndefined())
})
