import { describe, expect, test } from 'vitest'
import { orderDeferredRequests } from './index.js'
import type { DeferredRequest } from './index.js'

const createDeferredRequest = (changes: Partial<DeferredRequest>): DeferredRequest => ({ timeToTargetMs: 400, timeToDeadlineMs: 2_000, priority: 1, ...changes })

/** Counts targets met when requests are processed one after the other, each for `workMs`. */
const countTargetsMet = (requests: readonly DeferredRequest[], workMs: number): number =>
  requests.filter(({ timeToTargetMs }, index) => (index + 1) * workMs <= timeToTargetMs).length

describe('orderDeferredRequests', () => {
  test('puts the request with the least time left first', () => {
    const [short, long] = [createDeferredRequest({ timeToTargetMs: 120, priority: 2 }), createDeferredRequest({ timeToTargetMs: 700, priority: 0 })]
    expect(orderDeferredRequests([long, short])).toEqual([short, long])
  })

  test('puts requests last that miss their target in any order, the most urgent of them first', () => {
    const inTime = createDeferredRequest({ timeToTargetMs: 300, priority: 2 })
    const urgent = createDeferredRequest({ timeToTargetMs: -50, priority: 0 })
    const other = createDeferredRequest({ timeToTargetMs: 10, priority: 2 })
    expect(orderDeferredRequests([other, urgent, inTime])).toEqual([inTime, urgent, other])
  })

  test('does not change its argument', () => {
    const requests = [createDeferredRequest({ timeToTargetMs: 700 }), createDeferredRequest({ timeToTargetMs: 100 })]
    orderDeferredRequests(requests)
    expect(requests.map(({ timeToTargetMs }) => timeToTargetMs)).toEqual([700, 100])
  })

  // In order of arrival, look-ups that wait behind long streams after a power loss would all be late.
  test('meets more targets than the order of arrival', () => {
    const streams = Array.from({ length: 10 }, () => createDeferredRequest({ timeToTargetMs: 500 }))
    const lookups = Array.from({ length: 10 }, (_, index) => createDeferredRequest({ timeToTargetMs: 60 + 10 * index, priority: 2 }))
    const requests = [...streams, ...lookups]
    expect(countTargetsMet(requests, 10)).toBe(10)
    expect(countTargetsMet(orderDeferredRequests(requests), 10)).toBe(20)
  })
})
