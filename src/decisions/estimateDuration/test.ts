import { describe, expect, test } from 'vitest'
import { estimateDuration } from './index.js'

const route = { retryPolicy: 'stream', timeoutMs: 15_000, latencyTargetMs: 1_200 } as const

describe('estimateDuration', () => {
  test('grows with the tokens of a stream', () => expect(estimateDuration({ route, outputTokens: 300, tokenIntervalMs: 10 })).toBe(6_900))

  // A stream that is accepted late in the shutdown is cut when the node exits, if its
  // model engine is slower than those observed recently and the estimate has no margin.
  test.each([12, 14, 18])('covers a stream with %i ms per token when the slowest completed stream had 10 ms', (tokenMs) => {
    expect(estimateDuration({ route, outputTokens: 300, tokenIntervalMs: 10 })).toBeGreaterThan(route.latencyTargetMs + 300 * tokenMs)
  })

  test('is at most the route\'s timeout', () => expect(estimateDuration({ route, outputTokens: 30_000, tokenIntervalMs: 10 })).toBe(15_000))
  test('is the timeout for answers that are not streams', () => expect(estimateDuration({ route: { ...route, retryPolicy: 'unsafe', timeoutMs: 800 }, outputTokens: 0, tokenIntervalMs: 10 })).toBe(800))
})
