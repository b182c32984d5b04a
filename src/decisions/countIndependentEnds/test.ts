import { describe, expect, test } from 'vitest'
import { countIndependentEnds } from './index.js'

describe('countIndependentEnds', () => {
  test('counts none without ends', () => expect(countIndependentEnds([])).toBe(0))

  // Servers that lose power together are one cause, however many they are.
  test('counts servers that end together once', () => expect(countIndependentEnds([5, 0, 40, 290])).toBe(1))

  test('counts ends that follow one another each', () => expect(countIndependentEnds([2_000, 0, 1_000])).toBe(3))

  // Otherwise a chain of ends, each soon after the one before, would count once for ever.
  test('counts a chain of ends more than once', () => expect(countIndependentEnds([0, 200, 400, 600])).toBe(2))
})
