import { describe, expect, test } from 'vitest'
import { provesOutage } from './index.js'

describe('provesOutage', () => {
  test.each([
    ['no failed call', [], false],
    ['one failed call', [{ sentAt: 0, failedAt: 700 }], false],
    ['calls that failed at one moment', [{ sentAt: 0, failedAt: 700 }, { sentAt: 100, failedAt: 650 }], false],
    ['a call that was sent after another had failed', [{ sentAt: 0, failedAt: 700 }, { sentAt: 950, failedAt: 1_650 }], true],
    ['the same in another order', [{ sentAt: 950, failedAt: 1_650 }, { sentAt: 0, failedAt: 700 }], true],
    ['calls that fail at once, one after the other', [{ sentAt: 5, failedAt: 5 }, { sentAt: 5, failedAt: 5 }], true]
  ])('takes %s for one: %j is %s', (_name, calls, expected) => {
    expect(provesOutage(calls)).toBe(expected)
  })
})
