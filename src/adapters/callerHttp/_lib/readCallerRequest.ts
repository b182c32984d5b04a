/** Converts an HTTP request to the router's `CallerRequest`. */
import type { IncomingMessage } from 'node:http'
import type { CallerRequest, Headers } from '../../../types/index.js'

const BEARER = /^Bearer +([\x21-\x7e]{1,512}) *$/i

const joinHeaders = (message: IncomingMessage): Headers => {
  const joined: Record<string, string> = {}
  for (const [name, value] of Object.entries(message.headers)) {
    if (value !== undefined) joined[name] = Array.isArray(value) ? value.join(', ') : value
  }
  return joined
}

export const readCallerRequest = (message: IncomingMessage, body: unknown, requestId: string): CallerRequest => {
  const credential = BEARER.exec(message.headers.authorization ?? '')?.[1]
  return {
    requestId,
    method: message.method ?? 'GET',
    path: message.url ?? '/',
    headers: joinHeaders(message),
    body: Buffer.isBuffer(body) ? body : new Uint8Array(),
    ...(credential === undefined ? {} : { credential })
  }
}
