import { describe, expect, test } from 'vitest'
import { selectRouteTarget } from './index.js'

const targets = [{ service: 'old', weight: 90 }, { service: 'new', weight: 10 }, { service: 'none', weight: 0 }]

describe('selectRouteTarget', () => {
  test('selects each target in proportion to its weight', () => {
    const counts = new Map<string, number>()
    for (let index = 0; index < 1_000; index++) {
      const { service } = selectRouteTarget(targets, index / 1_000)
      counts.set(service, (counts.get(service) ?? 0) + 1)
    }
    expect(Object.fromEntries(counts)).toEqual({ old: 900, new: 100 })
  })
  test('selects the last target when all weights are 0', () => expect(selectRouteTarget([{ service: 'a', weight: 0 }, { service: 'b', weight: 0 }], 0.5).service).toBe('b'))
})
