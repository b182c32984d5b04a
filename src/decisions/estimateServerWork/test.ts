import { describe, expect, test } from 'vitest'
import { estimateFirstTokenMs, estimateServerWork, MAXIMUM_READING_MS, sumUnreadTokens, type RequestMemory, type ServerWorkState } from './index.js'

const REQUEST: RequestMemory = { promptTokens: 9_000, expectedOutputTokens: 100, maximumOutputTokens: 400 }
const READING_MS_PER_TOKEN = 0.025

const createState = (changes: Partial<ServerWorkState> = {}): ServerWorkState =>
  ({ unreadPrompts: [], memories: [], otherRequests: 0, meanRequest: REQUEST, memoryTokens: 50_000, readingMsPerToken: READING_MS_PER_TOKEN, ...changes })

describe('sumUnreadTokens', () => {
  const PROMPTS = [{ tokens: 9_000, tokensBefore: 0, sentAt: 0 }, { tokens: 1_000, tokensBefore: 9_000, sentAt: 0 }]

  test.each([[0, 10_000], [100, 6_000], [225, 1_000], [240, 400], [250, 0], [400, 0]])('counts what is read after %i ms', (now, tokens) =>
    expect(sumUnreadTokens(PROMPTS, now, READING_MS_PER_TOKEN)).toBeCloseTo(tokens))

  // A lost event must not leave its tokens for ever, nor before the first observation of a pace.
  test.each([[MAXIMUM_READING_MS - 1, 10_000], [MAXIMUM_READING_MS, 0]])('counts prompts in full for %i ms without a pace', (now, tokens) =>
    expect(sumUnreadTokens(PROMPTS, now, undefined)).toBe(tokens))
})

describe('estimateServerWork', () => {
  test('adds the unread tokens of other nodes, which shrink by their share of what is read', () => {
    const state = createState({ unreadPrompts: [{ tokens: 4_000, tokensBefore: 8_000, sentAt: 100 }], others: { tokens: 8_000, at: 0 } })
    expect(estimateServerWork(state, 100).unreadTokens).toBeCloseTo(4_000 + 8_000 - 4_000 * 2 / 3)
  })

  test('counts own requests by what they need, and those of other nodes by the mean', () =>
    expect(estimateServerWork(createState({ memories: [{ ...REQUEST, promptTokens: 500 }], otherRequests: 2 }), 0))
      .toMatchObject({ memoryFreeTokens: 50_000 - 600 - 2 * 9_100, memoryFreeAtMaximumTokens: 50_000 - 900 - 2 * 9_400, meanRequestTokens: 9_100 }))
})

describe('estimateFirstTokenMs', () => {
  test('knows no time without a pace', () => expect(estimateFirstTokenMs(9_000, undefined, 2)).toBeUndefined())
})
