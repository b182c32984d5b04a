import { describe, expect, test } from 'vitest'
import { createTokenPace } from './createTokenPace.js'
import { estimateDuration, DEFAULT_TOKEN_INTERVAL_MS } from '../../../decisions/estimateDuration/index.js'

const ROUTE = { retryPolicy: 'stream', timeoutMs: 15_000, latencyTargetMs: 800 } as const
const GRACE_MS = 7_500
const TOKENS = 1_000

const createPaceOf = (tokenIntervalMs: number) => {
  const pace = createTokenPace()
  for (let stream = 0; stream < 20; stream++) pace.record('engines', 400, 400 * tokenIntervalMs)
  return pace
}

describe('createTokenPace', () => {
  test('returns undefined before the first stream, and for other services', () => {
    expect(createTokenPace().read('engines')).toBeUndefined()
    expect(createPaceOf(4).read('others')).toBeUndefined()
  })

  test('adopts a slow stream at once and decays slowly', () => {
    const pace = createPaceOf(4)
    pace.record('engines', 400, 400 * 9)
    expect(pace.read('engines')).toBe(9)
    pace.record('engines', 400, 400 * 4)
    expect(pace.read('engines')).toBeCloseTo(8.9)
    for (let stream = 0; stream < 200; stream++) pace.record('engines', 400, 400 * 4)
    expect(pace.read('engines')).toBeLessThan(4.2)
  })

  test('ignores streams that are too short for an estimate', () => {
    const pace = createPaceOf(4)
    pace.record('engines', 20, 400)
    expect(pace.read('engines')).toBeCloseTo(4)
  })

  // A node that overestimates the time per token would refuse streams that end within the grace period.
  test.each([
    ['accepted on engines three times faster', 3.5 / 3, true],
    ['accepted on engines that are fast enough', 3.5, true],
    ['refused on engines three times slower', 3.5 * 3, false]
  ])('a long stream at the start of a shutdown is %s', (_what, tokenIntervalMs, isAccepted) => {
    const estimate = estimateDuration({ route: ROUTE, outputTokens: TOKENS, tokenIntervalMs: createPaceOf(tokenIntervalMs).read('engines') ?? DEFAULT_TOKEN_INTERVAL_MS })
    expect(estimate <= GRACE_MS).toBe(isAccepted)
  })
})
