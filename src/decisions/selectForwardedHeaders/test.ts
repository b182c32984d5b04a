import { describe, expect, it } from 'vitest'
import { selectForwardedHeaders } from './index.js'

describe('selectForwardedHeaders', () => {
  it('forwards other headers unchanged', () => {
    const headers = { accept: 'a', 'content-type': 'b', 'x-shop': 'c' }
    expect(selectForwardedHeaders(headers)).toEqual(headers)
  })

  it.each([
    'connection', 'keep-alive', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-authorization', 'proxy-connection',
    'authorization', 'cookie', 'host', 'content-length', 'expect', 'x-chat-id', 'x-chat-hint', 'x-forwarded-for', 'forwarded',
    'x-request-id', 'x-client-account', 'x_client_account', 'x-priority', 'x-deadline-ms', 'idempotency-key', 'accept-encoding'
  ])('withholds %s', (name) => {
    expect(selectForwardedHeaders({ [name]: 'x' })).toEqual({})
  })

  it('withholds headers that the Connection header names', () => {
    expect(selectForwardedHeaders({ connection: 'close, X-Secret ,,', 'x-secret': 's', accept: 'a' })).toEqual({ accept: 'a' })
  })
})
