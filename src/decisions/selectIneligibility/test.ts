import { describe, expect, test } from 'vitest'
import { selectIneligibility } from './index.js'

describe('selectIneligibility', () => {
  test('selects a rate over a backoff, whose end is farther off', () => expect(selectIneligibility(['backingOff', 'warmingUp'])).toBe('warmingUp'))
  test('selects a backoff over a drain', () => expect(selectIneligibility(['zoneDrained', 'backingOff'])).toBe('backingOff'))
  test('selects the reason that can pass soonest', () => expect(selectIneligibility(['regionNotAllowed', 'zoneDrained', 'warmingUp'])).toBe('warmingUp'))
  test('selects open when one server is open', () => expect(selectIneligibility(['zoneDrained', 'open'])).toBe('open'))
  test('selects nothing without servers', () => expect(selectIneligibility([])).toBeUndefined())
})
