import { describe, expect, test } from 'vitest'
import { estimateDuration } from './index.js'

const route = { repeatPolicy: 'stream', timeoutMs: 15_000, goalMs: 1_200 } as const

describe('estimateDuration', () => {
  test('grows with the tokens of a stream', () => expect(estimateDuration({ route, outputTokens: 300, tokenMs: 10 })).toBe(6_900))

  // A stream taken late in a stop, on an engine a little slower than any seen lately, was cut by the node's end.
  test.each([12, 14, 18])('covers a stream of %i ms a token where the slowest that ended took 10', (tokenMs) => {
    expect(estimateDuration({ route, outputTokens: 300, tokenMs: 10 })).toBeGreaterThan(route.goalMs + 300 * tokenMs)
  })

  test('is at most the route\'s timeout', () => expect(estimateDuration({ route, outputTokens: 30_000, tokenMs: 10 })).toBe(15_000))
  test('is the timeout for answers that are no streams', () => expect(estimateDuration({ route: { ...route, repeatPolicy: 'unsafe', timeoutMs: 800 }, outputTokens: 0, tokenMs: 10 })).toBe(800))
})
