import { describe, expect, test } from 'vitest'
import { computeRetryAfter } from './index.js'

describe('computeRetryAfter', () => {
  test('spreads retries over half a second', () => expect([0, 0.5].map((share) => computeRetryAfter(share))).toEqual([250, 500]))
  test('never asks for an immediate retry', () => expect(computeRetryAfter(0)).toBeGreaterThan(0))
})
