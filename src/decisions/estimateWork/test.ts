import { describe, expect, test } from 'vitest'
import { estimateWork } from './index.js'

const TOKENS = { prompt: 100, output: 50 }

describe('estimateWork', () => {
  test('adds the prompt and the limit of the answer', () => expect(estimateWork({ tokens: TOKENS }, true)).toBe(150))
  test('believes an estimate below the limit only', () => expect([20, 1e9].map((estimatedOutputTokens) => estimateWork({ tokens: TOKENS, estimatedOutputTokens }, true))).toEqual([120, 150]))
  test('counts a plain request as one, and no request as nothing', () => expect([estimateWork({ tokens: TOKENS }, false), estimateWork({ tokens: { prompt: 0, output: 0 } }, true)]).toEqual([1, 1]))
})
