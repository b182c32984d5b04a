import { describe, expect, it } from 'vitest'
import { selectReturnedHeaders } from './index.js'

describe('selectReturnedHeaders', () => {
  it.each(['connection', 'transfer-encoding', 'content-length', 'x-request-id', 'x-served-by', 'x-chat-hint', 'x-request-outcome', 'x-should-retry', 'x-not-run'])('withholds %s', (name) => {
    expect(selectReturnedHeaders({ [name]: 'x', etag: 'e' })).toEqual({ etag: 'e' })
  })

  it('keeps the cookies of a plain service, except one with the name of the chat cookie', () => {
    expect(selectReturnedHeaders({ 'set-cookie': 'a=1; Path=/\ndotterelspoke-chat=forged\nb=2' })).toEqual({ 'set-cookie': 'a=1; Path=/\nb=2' })
  })
})
