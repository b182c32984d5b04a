import { describe, expect, it } from 'vitest'
import { composeAnswer, hashPrefixes } from './index.js'

const chat = (...contents: readonly string[]) => contents.map((content) => ({ role: 'user', content }))

describe('composeAnswer', () => {
  it('composes the same answer to the same chat', () => {
    expect(composeAnswer(chat('a', 'b'))).toEqual(composeAnswer(chat('a', 'b')))
  })

  it.each([[chat('b', 'a')], [chat('a')], [chat('a', 'B')], [[]]])('composes a different answer to the chat %j', (messages) => {
    expect(composeAnswer(messages).text).not.toBe(composeAnswer(chat('a', 'b')).text)
  })

  it('contains the beginning of the last message', () => {
    expect(composeAnswer(chat('x', 'Is there ravioli?')).text).toContain('"Is there ravioli?"')
  })

  it.each([[1, 'length'], [10, 'length'], [100_000, 'stop']])('with a maximum of %i tokens has the finish reason %s', (maximumTokens, reason) => {
    const answer = composeAnswer(chat('a'), maximumTokens)
    expect(answer.finishReason).toBe(reason)
    expect(answer.tokens.join('')).toBe(answer.text)
    expect(answer.tokens.length).toBeLessThanOrEqual(maximumTokens)
  })
})

describe('hashPrefixes', () => {
  it('returns the same hashes for the common prefix of two chats only', () => {
    const [left, right] = [hashPrefixes(chat('a', 'b', 'c')), hashPrefixes(chat('a', 'b', 'd'))]
    expect([left[1] === right[1], left[2] === right[2]]).toEqual([true, false])
  })
})
