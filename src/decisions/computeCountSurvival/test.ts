import { describe, expect, it } from 'vitest'
import { computeCountSurvival } from './index.js'

describe('computeCountSurvival', () => {
  it('is 1 for a new count', () => expect(computeCountSurvival({ ageMs: 0, remainingMs: 40 })).toBe(1))

  it('falls to about a third in the mean remaining time', () => expect(computeCountSurvival({ ageMs: 40, remainingMs: 40 })).toBeCloseTo(0.368, 3))

  it('is 0 for a count of unknown age', () => expect(computeCountSurvival({ ageMs: Infinity, remainingMs: 40 })).toBe(0))
})
