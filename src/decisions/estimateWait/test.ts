import { describe, expect, test } from 'vitest'
import { estimateWait } from './index.js'

describe('estimateWait', () => {
  test('takes the pace that the running requests will have', () => expect(estimateWait({ tokensAhead: 100, tokensPerMs: 0.1, meanTokens: 10, meanDurationMs: 100, slots: 4 })).toBe(250))
  test('takes the observed pace where it is higher', () => expect(estimateWait({ tokensAhead: 100, tokensPerMs: 1, meanTokens: 10, meanDurationMs: 100, slots: 4 })).toBe(100))
  test('expects no wait while no request has ended', () => expect(estimateWait({ tokensAhead: 100, tokensPerMs: 0, meanTokens: 0, meanDurationMs: 0, slots: 4 })).toBe(0))
})
