import { describe, expect, test } from 'vitest'
import { orderHeld } from './index.js'
import type { HeldRequest } from './index.js'

const createHeld = (changes: Partial<HeldRequest>): HeldRequest => ({ goalLeftMs: 400, deadlineLeftMs: 2_000, priority: 1, ...changes })

/** Counts targets met when requests are processed one after the other, each for `workMs`. */
const countInTime = (held: readonly HeldRequest[], workMs: number): number =>
  held.filter(({ goalLeftMs }, index) => (index + 1) * workMs <= goalLeftMs).length

describe('orderHeld', () => {
  test('puts the request with the least time left first', () => {
    const [short, long] = [createHeld({ goalLeftMs: 120, priority: 2 }), createHeld({ goalLeftMs: 700, priority: 0 })]
    expect(orderHeld([long, short])).toEqual([short, long])
  })

  test('puts requests last that miss their target in any order, the most urgent of them first', () => {
    const inTime = createHeld({ goalLeftMs: 300, priority: 2 })
    const urgent = createHeld({ goalLeftMs: -50, priority: 0 })
    const other = createHeld({ goalLeftMs: 10, priority: 2 })
    expect(orderHeld([other, urgent, inTime])).toEqual([inTime, urgent, other])
  })

  test('does not change its argument', () => {
    const held = [createHeld({ goalLeftMs: 700 }), createHeld({ goalLeftMs: 100 })]
    orderHeld(held)
    expect(held.map(({ goalLeftMs }) => goalLeftMs)).toEqual([700, 100])
  })

  // In order of arrival, look-ups that wait behind long streams after a power loss would all be late.
  test('meets more targets than the order of arrival', () => {
    const streams = Array.from({ length: 10 }, () => createHeld({ goalLeftMs: 500 }))
    const lookups = Array.from({ length: 10 }, (_, index) => createHeld({ goalLeftMs: 60 + 10 * index, priority: 2 }))
    const held = [...streams, ...lookups]
    expect(countInTime(held, 10)).toBe(10)
    expect(countInTime(orderHeld(held), 10)).toBe(20)
  })
})
