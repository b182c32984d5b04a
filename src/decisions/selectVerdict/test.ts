import { describe, expect, test } from 'vitest'
import { selectVerdict } from './index.js'

describe('selectVerdict', () => {
  test('names what is over soonest', () => expect(selectVerdict(['regionNotAllowed', 'zoneDrained', 'warmingUp'])).toBe('warmingUp'))
  test('says so when one server is open', () => expect(selectVerdict(['zoneDrained', 'open'])).toBe('open'))
  test('names nothing without servers', () => expect(selectVerdict([])).toBeUndefined())
})
