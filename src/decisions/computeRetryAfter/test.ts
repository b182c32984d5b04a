import { describe, expect, test } from 'vitest'
import { computeRetryAfter } from './index.js'

describe('computeRetryAfter', () => {
  test('spreads retries over half a second', () => expect([0, 0.5].map((share) => computeRetryAfter(share))).toEqual([250, 500]))
  test('never asks for an immediate retry', () => expect(computeRetryAfter(0)).toBeGreaterThan(0))
  test('waits longer for an operator', () => expect(computeRetryAfter(0, { reason: 'zoneDrained' })).toBe(1_500))

  // Callers that return before the end of the backoff would be rejected again, with less time left.
  test('waits for the end of the first backoff, spread over half a second', () =>
    expect([0, 0.5].map((share) => computeRetryAfter(share, { reason: 'backingOff', availableInMs: 3_000, remainingMs: 5_000 }))).toEqual([3_000, 3_250]))

  // Waiting in vain would cost the caller the time in which another node can serve it.
  test.each([2_999, 3_000])('does not wait for a backoff that ends after the deadline in %i ms', (remainingMs) =>
    expect(computeRetryAfter(0, { reason: 'backingOff', availableInMs: 3_000, remainingMs })).toBe(250))

  test('waits the usual time when the backoff ends sooner', () => expect(computeRetryAfter(0, { reason: 'instancesRefused', availableInMs: 100 })).toBe(250))
  test('waits the usual time when no end is known', () => expect(computeRetryAfter(0, { reason: 'noInstance', availableInMs: Infinity })).toBe(250))
  test.each(['staleKeys', 'zoneDrained'] as const)('does not wait for a backend server after %s', (reason) =>
    expect(computeRetryAfter(0, { reason, availableInMs: 9_000 })).toBeLessThan(9_000))

  test('asks to wait as long as the queue does, spread over half as long again', () =>
    expect([0, 0.5].map((share) => computeRetryAfter(share, { reason: 'waitTooLong', availableInMs: 4_000 }))).toEqual([4_000, 5_000]))

  // Told to come back when most of its time is over, a caller does not return at all.
  test('asks to wait for a third of the time left at most', () =>
    expect([0, 0.5].map((share) => computeRetryAfter(share, { reason: 'lessUrgent', availableInMs: 4_000, remainingMs: 3_000 }))).toEqual([500, 750]))
})
