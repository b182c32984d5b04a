import { describe, expect, test } from 'vitest'
import { updateRouteTargets } from './index.js'

const A = { route: 'r1', service: 'a' }
const B = { route: 'r1', service: 'b' }

const inForce = (target: typeof A) => ({ ...target, endMark: '' })

describe('updateRouteTargets', () => {
  test('adds what is missing, also beside what has ended', () => {
    expect(updateRouteTargets([{ ...A, endMark: 'm1' }], [B])).toEqual([{ ...A, endMark: 'm1' }, inForce(B)])
  })

  test('returns the same targets when nothing changes', () => {
    const stored = [inForce(A), { ...B, endMark: 'm1' }]
    expect(updateRouteTargets(stored, [A], { endMark: 'm2' })).toBe(stored)
  })

  test('marks what has ended, unless the configuration may be late', () => {
    expect(updateRouteTargets([inForce(A)], [B], { endMark: 'm1' })).toEqual([{ ...A, endMark: 'm1' }, inForce(B)])
    expect(updateRouteTargets([inForce(A)], [])).toEqual([inForce(A)])
  })

  // A target that is used again must not be removed by the mark of before.
  test('revokes the mark of a target to which a route leads again', () => {
    expect(updateRouteTargets([{ ...A, endMark: 'm1' }], [A], { endMark: 'm2', isExpired: () => true })).toEqual([inForce(A)])
  })

  test('removes only marked targets that have expired', () => {
    expect(updateRouteTargets([{ ...A, endMark: 'm1' }, { ...B, endMark: 'm2' }], [], { endMark: 'm3', isExpired: ({ endMark }) => endMark === 'm1' })).toEqual([{ ...B, endMark: 'm2' }])
  })
})
