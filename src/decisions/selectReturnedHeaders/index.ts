/** Selects the response headers of a backend server that are returned to the caller. */
import type { Headers } from '../../types/index.js'
import { HOP_BY_HOP_HEADERS, readConnectionNames } from '../selectForwardedHeaders/index.js'

/** Headers that the router sets itself or derives from the body that it sends. */
const ROUTER_HEADERS: ReadonlySet<string> = new Set([
  'content-length', 'x-request-id', 'x-served-by', 'x-chat-hint', 'x-request-outcome', 'x-should-retry',
  'x-idempotent-replay', 'x-not-run', 'x-client-account', 'x-priority', 'x-deadline-ms'
])

/** Name of the cookie that carries the chat hint; a backend server may not set it. */
export const CHAT_COOKIE = 'dotterelspoke-chat'

const withoutChatCookie = (cookies: string): string =>
  cookies.split('\n').filter((cookie) => !cookie.trimStart().toLowerCase().startsWith(`${CHAT_COOKIE}=`)).join('\n')

/**
 * Selects the headers of a response to return to the caller.
 *
 * @param headers - The backend server's headers, in lower case.
 * @returns The headers to return; the router adds its own.
 *
 * @example
 * selectReturnedHeaders({ 'content-type': 'text/plain', connection: 'close' }) // => { 'content-type': 'text/plain' }
 */
export const selectReturnedHeaders = (headers: Headers): Headers => {
  const connectionNames = readConnectionNames(headers)
  const returned: Record<string, string> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (HOP_BY_HOP_HEADERS.has(name) || ROUTER_HEADERS.has(name) || connectionNames.has(name)) continue
    const kept = name === 'set-cookie' ? withoutChatCookie(value) : value
    if (kept !== '') returned[name] = kept
  }
  return returned
}
