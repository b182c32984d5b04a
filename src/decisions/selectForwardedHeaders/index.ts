/** Selects the request headers that are forwarded to a backend server. */
import type { Headers } from '../../types/index.js'

/** Hop-by-hop headers, which RFC 9110 forbids to forward. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'trailers', 'transfer-encoding', 'upgrade', 'http2-settings'
])

/** Headers that the router sets itself, keeps private, or derives from the body that it sends. */
const WITHHELD_HEADERS: ReadonlySet<string> = new Set([
  'authorization', 'cookie', 'host', 'content-length', 'expect', 'forwarded', 'via', 'x-real-ip',
  'accept-encoding', 'idempotency-key', 'x-request-id', 'x-deadline-ms', 'x-priority', 'x-client-account', 'x-not-run'
])

const WITHHELD_PREFIXES = ['x-chat-', 'x-forwarded-', 'proxy-'] as const

/**
 * Reads the names of the headers that a Connection header declares as hop-by-hop.
 *
 * @param headers - Headers of a message, in lower case.
 * @returns Lower-case names.
 *
 * @example
 * readConnectionNames({ connection: 'close, X-Secret' }) // => Set { 'close', 'x-secret' }
 */
export const readConnectionNames = (headers: Headers): ReadonlySet<string> => {
  const names = (headers['connection'] ?? '').split(',')
  return new Set(names.map((name) => name.trim().toLowerCase()).filter((name) => name !== ''))
}

/**
 * Selects the headers to forward to a backend server.
 *
 * Names with an underscore are withheld too: many servers treat `x_client_account`
 * and `x-client-account` as the same header, so a caller could impersonate
 * another client account.
 *
 * @param headers - The caller's headers, in lower case.
 * @returns The headers to forward; the router adds its own.
 *
 * @example
 * selectForwardedHeaders({ accept: 'text/plain', cookie: 'a=b' }) // => { accept: 'text/plain' }
 */
export const selectForwardedHeaders = (headers: Headers): Headers => {
  const connectionNames = readConnectionNames(headers)
  const isForwarded = (name: string): boolean =>
    !HOP_BY_HOP_HEADERS.has(name) &&
    !WITHHELD_HEADERS.has(name) &&
    !WITHHELD_PREFIXES.some((prefix) => name.startsWith(prefix)) &&
    !name.includes('_') &&
    !connectionNames.has(name)
  return Object.fromEntries(Object.entries(headers).filter(([name]) => isForwarded(name)))
}
