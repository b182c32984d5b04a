import { describe, expect, test } from 'vitest'
import { computeTrialDelay } from './index.js'

const createPart = (trials: number, ends = 2) => ({ servers: Array.from({ length: ends }, (_, index) => `engine-${index}@1`), endsAtFirst: 2, trials })

describe('computeTrialDelay', () => {
  // A sound part that few requests have gets no refusal at all: its next request is the trial.
  test('is none before the first trial', () => expect(computeTrialDelay(createPart(0))).toBe(0))

  test('grows with each trial', () => {
    const delays = [1, 2, 3, 4, 5, 60].map((trials) => computeTrialDelay(createPart(trials)))
    expect(delays).toEqual([...delays].sort((left, right) => left - right))
    expect(delays[0]).toBeGreaterThan(0)
  })

  test('grows with ends that no trial caused', () => expect(computeTrialDelay(createPart(0, 4))).toBe(computeTrialDelay(createPart(2))))

  // Each trial of a part that ends servers ends one: after five ends no more than three may be sent for a while.
  test('lets three trials pass in the first hour beyond the first five seconds', () => {
    let at = 0
    const trialTimes: number[] = []
    for (let trials = 0; trials < 20; trials++) {
      at += computeTrialDelay(createPart(trials))
      trialTimes.push(at)
    }
    expect(trialTimes.filter((time) => time > 5_000 && time < 3_600_000).length).toBeLessThanOrEqual(3)
  })
})
