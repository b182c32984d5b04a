import { describe, expect, test } from 'vitest'
import { createLeavingRuns } from './createLeavingRuns.js'

const RUN = { id: 'engine-1', incarnation: 5 }

describe('createLeavingRuns', () => {
  test('knows no run at first', () => expect(createLeavingRuns().has(RUN)).toBe(false))

  test('reports a run once', () => {
    const runs = createLeavingRuns()
    expect([runs.record(RUN), runs.record(RUN)]).toEqual([true, false])
  })

  test.each([[4, true], [5, true], [6, false]])('tells whether incarnation %i is leaving after 5', (incarnation, isLeaving) => {
    const runs = createLeavingRuns()
    runs.record(RUN)
    expect(runs.has({ ...RUN, incarnation })).toBe(isLeaving)
  })

  test('forgets the oldest runs beyond its limit', () => {
    const runs = createLeavingRuns()
    for (let index = 0; index <= 2_000; index++) runs.record({ id: `engine-${index}`, incarnation: 1 })
    expect([runs.has({ id: 'engine-0', incarnation: 1 }), runs.has({ id: 'engine-1', incarnation: 1 }), runs.has({ id: 'engine-2000', incarnation: 1 })]).toEqual([false, true, true])
  })
})
