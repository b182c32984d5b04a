import { describe, expect, test } from 'vitest'
import { selectOvertaken } from './index.js'

const LATE = { priority: 2, onTimeUntil: 100 }
const ON_TIME = { priority: 2, onTimeUntil: 900 }

describe('selectOvertaken', () => {
  test('selects a late request while one that is as urgent can be on time', () => expect(selectOvertaken([LATE, ON_TIME], 500)).toEqual([LATE]))
  test('selects a late request while a more urgent one can be on time', () => expect(selectOvertaken([LATE, { ...ON_TIME, priority: 0 }], 500)).toEqual([LATE]))
  test('keeps a late request from giving way to a less urgent one', () => expect(selectOvertaken([{ ...LATE, priority: 0 }, ON_TIME], 500)).toEqual([]))
  test('lets late requests wait while no other waits', () => expect(selectOvertaken([LATE, { ...LATE, priority: 5 }], 500)).toEqual([]))
  test('selects nothing from an empty queue', () => expect(selectOvertaken([], 500)).toEqual([]))
})
