import { describe, expect, it } from 'vitest'
import { signChatHint, type ChatHint, type MessageAuthenticator } from '../signChatHint/index.js'
import { verifyChatHint } from './index.js'

const createAuthenticator = (key: string): MessageAuthenticator => {
  const sign = (message: string): string => Buffer.from(`${key}${message}`).toString('base64url')
  return { sign, verify: (message, code) => sign(message) === code }
}

const HINT: ChatHint = { clientAccount: 'shop', chatKey: 'chat', backendServer: 'backend-ř' }
const FLEET = createAuthenticator('k')
const signed = signChatHint(HINT, FLEET)

describe('verifyChatHint', () => {
  it('returns the backend server of a genuine hint', () => {
    expect(verifyChatHint(signed, 'shop', 'chat', FLEET)).toBe('backend-ř')
  })

  it.each([
    ['another account', signed, 'rival', 'chat'],
    ['another chat', signed, 'shop', 'other'],
    ['another server', signed.replace(/^v1\.[^.]+/, 'v1.eA'), 'shop', 'chat'],
    ['another fleet', signChatHint(HINT, createAuthenticator('z')), 'shop', 'chat'],
    ['an empty text', '', 'shop', 'chat'],
    ['a truncated text', signed.slice(0, -2), 'shop', 'chat'],
    ['a very long text', `v1.${'x'.repeat(5_000)}.y`, 'shop', 'chat']
  ])('ignores a hint of %s', (_name, text, clientAccount, chatKey) => {
    expect(verifyChatHint(text, clientAccount, chatKey, FLEET)).toBeUndefined()
  })
})
