import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { advanceEjection, computeWeightShare, createEjection, INITIAL_WEIGHT_SHARE } from './index.js'
import type { EjectionEvent, EjectionLimits } from './index.js'

const SEED = 20_263
const LIMITS: EjectionLimits = { failures: 3, failedConnections: 2, unansweredProbes: 3, failureRate: 0.4, holdMs: 1000, maximumHoldMs: 8000, slowStartMs: 4000, forgetAfterMs: 60_000 }
const EVENTS: readonly EjectionEvent[] = ['complete', 'failed', 'notSent', 'refused', 'probeAnswered', 'probeUnanswered', 'tick']

const advanceAll = (events: readonly EjectionEvent[], now = 0, start = createEjection()) =>
  events.reduce((ejection, event) => advanceEjection(ejection, event, now, LIMITS), start)

describe('advanceEjection', () => {
  it.each<{ case: string, events: EjectionEvent[], phase: string }>([
    { case: 'two failures', events: ['failed', 'failed'], phase: 'live' },
    { case: 'three failures', events: ['failed', 'failed', 'failed'], phase: 'ejected' },
    { case: 'failures with a success in between', events: ['failed', 'failed', 'complete', 'failed', 'failed'], phase: 'live' },
    { case: 'two failed connections', events: ['notSent', 'notSent'], phase: 'ejected' },
    { case: 'failed connections with an answered probe in between', events: ['notSent', 'probeAnswered', 'notSent'], phase: 'live' },
    { case: 'failed requests with answered probes in between', events: ['failed', 'probeAnswered', 'failed', 'probeAnswered', 'failed'], phase: 'ejected' },
    { case: 'three unanswered probes', events: ['probeUnanswered', 'probeUnanswered', 'probeUnanswered'], phase: 'ejected' },
    { case: 'documented refusals', events: ['refused', 'refused', 'refused', 'refused'], phase: 'live' },
    { case: 'more failures than successes in alternation', events: Array.from({ length: 30 }, (_, index) => index % 3 === 0 ? 'complete' : 'failed'), phase: 'ejected' }
  ])('is $phase after $case', ({ events, phase }) => {
    expect(advanceAll(events).phase).toBe(phase)
  })

  // With a constant ejection time, a flapping server would go on failing the same share of requests.
  it('doubles the ejection time of a flapping server up to the maximum', () => {
    let ejection = advanceAll(['failed', 'failed', 'failed'])
    const holds = [ejection.ejectedUntil - ejection.since]
    for (let round = 0; round < 4; round++) {
      ejection = advanceEjection(ejection, 'failed', ejection.ejectedUntil, LIMITS)
      holds.push(ejection.ejectedUntil - ejection.since)
    }
    expect(holds).toEqual([1000, 2000, 4000, 8000, 8000])
  })

  it('returns through slow start and is live at its end', () => {
    const ejected = advanceAll(['notSent', 'notSent'])
    const back = advanceEjection(ejected, 'tick', 1000, LIMITS)
    expect([1000, 3000, 5000].map((now) => computeWeightShare(back, now, LIMITS))).toEqual([INITIAL_WEIGHT_SHARE, 0.55, 1])
    expect(advanceEjection(back, 'tick', 5000, LIMITS).phase).toBe('live')
  })

  it('stays ejected while connections still fail', () => {
    const ejected = advanceAll(['notSent', 'notSent'])
    expect(advanceEjection(ejected, 'notSent', 900, LIMITS).ejectedUntil).toBe(1900)
  })

  it('forgets earlier ejections after a time without one', () => {
    const back = advanceAll(['tick', 'tick', 'tick'], 100_000, advanceAll(['notSent', 'notSent']))
    const later = advanceEjection(back, 'tick', 200_000, LIMITS)
    expect(later.ejections).toBe(0)
  })

  it('readmits a server within the maximum ejection time after any history', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom(...EVENTS), fc.nat({ max: 5000 })), { maxLength: 60 }), (history) => {
      let now = 0
      let ejection = createEjection()
      for (const [event, pause] of history) {
        now += pause
        ejection = advanceEjection(ejection, event, now, LIMITS)
      }
      now += LIMITS.maximumHoldMs
      ejection = advanceEjection(ejection, 'tick', now, LIMITS)
      expect(computeWeightShare(ejection, now, LIMITS)).toBeGreaterThan(0)
    }), { seed: SEED })
  })
})
