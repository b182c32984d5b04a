import { describe, expect, it } from 'vitest'
import { planLoadSum } from './index.js'

const PERIOD_MS = 400

describe('planLoadSum', () => {
  it('waits a part of the period for further sources', () =>
    expect(planLoadSum({ arrivedAt: 1_400, summedAt: 1_000, periodMs: PERIOD_MS })).toEqual({ kind: 'next', deadline: 1_520 }))

  it('waits for the first time as well', () =>
    expect(planLoadSum({ arrivedAt: 1_400, summedAt: -Infinity, periodMs: PERIOD_MS })).toEqual({ kind: 'next', deadline: 1_520 }))

  it('tells counts that missed the last sum from the next ones', () =>
    expect(planLoadSum({ arrivedAt: 1_010, summedAt: 1_000, periodMs: PERIOD_MS })).toEqual({ kind: 'late' }))

  it('waits longer while the pacemaker has not reported', () =>
    expect(planLoadSum({ arrivedAt: 1_400, summedAt: 1_000, pacedAt: 990, periodMs: PERIOD_MS })).toEqual({ kind: 'next', deadline: 2_000 }))

  it('begins the next sum when the pacemaker reports, however early', () =>
    expect(planLoadSum({ arrivedAt: 1_010, summedAt: 1_000, pacedAt: 1_010, periodMs: PERIOD_MS })).toEqual({ kind: 'next', deadline: 1_130 }))

  it('does not wait for a pacemaker that is silent', () =>
    expect(planLoadSum({ arrivedAt: 2_400, summedAt: 2_000, pacedAt: 990, periodMs: PERIOD_MS })).toEqual({ kind: 'next', deadline: 2_520 }))
})
