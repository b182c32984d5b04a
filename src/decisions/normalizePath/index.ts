/**
 * Normalises a request path, so that routing and backend servers see the same
 * form. A path that two parsers could interpret differently is refused, since
 * it might be routed by the rules of one route and run as another.
 */
import { failure } from '../../kernel/failure/index.js'
import { success } from '../../kernel/success/index.js'
import type { Result } from '../../types/index.js'

export type NormalizedPath = {
  /** Path without the query. */
  readonly path: string
  /** Query with its question mark, or empty. */
  readonly query: string
}

const MAXIMUM_PATH_LENGTH = 8_192
const UNRESERVED = /^[A-Za-z0-9\-._~]$/
const PRINTABLE_ASCII = /^[\x21-\x7e]*$/
const VALID_PERCENT = /^(?:[^%]|%[0-9A-Fa-f]{2})*$/
/** Percent-encoded slash, backslash, semicolon and NUL, which servers decode at different stages. */
const ENCODED_DELIMITER = /%(?:2f|5c|3b|00)/i

const decodeUnreserved = (path: string): string =>
  path.replace(/%[0-9A-Fa-f]{2}/g, (code) => {
    const character = String.fromCharCode(parseInt(code.slice(1), 16))
    return UNRESERVED.test(character) ? character : code.toUpperCase()
  })

const findFault = (path: string, query: string): string | undefined => {
  if (!path.startsWith('/')) return 'the target must be a path that starts with a slash'
  if (path.length + query.length > MAXIMUM_PATH_LENGTH) return 'the path is too long'
  if (!PRINTABLE_ASCII.test(path) || !PRINTABLE_ASCII.test(query)) return 'the path holds a character that must be encoded'
  if (path.includes('#') || query.includes('#')) return 'the path holds a fragment'
  if (!VALID_PERCENT.test(path)) return 'the path holds a malformed percent code'
  if (path.includes('\\') || path.includes(';') || ENCODED_DELIMITER.test(path)) return 'the path holds a delimiter that servers read differently'
  if (path.includes('//')) return 'the path holds an empty segment'
  return undefined
}

const hasDotSegment = (path: string): boolean =>
  path.split('/').some((segment) => segment === '.' || segment === '..')

/**
 * Splits a request target and normalises its path.
 *
 * Percent-encodings of unreserved characters are decoded once, as RFC 3986 treats
 * both forms as equivalent. Dot segments, empty segments, encoded delimiters, path
 * parameters, fragments and absolute targets are refused.
 *
 * @param target - The request target as the caller sent it.
 * @returns The normalised path, or a description of what is wrong with the target.
 *
 * @example
 * normalizePath('/orders/%61?x=1') // => { ok: true, value: { path: '/orders/a', query: '?x=1' } }
 */
export const normalizePath = (target: string): Result<NormalizedPath, string> => {
  const queryAt = target.indexOf('?')
  const rawPath = queryAt < 0 ? target : target.slice(0, queryAt)
  const query = queryAt < 0 ? '' : target.slice(queryAt)
  const fault = findFault(rawPath, query)
  if (fault !== undefined) return failure(fault)
  const path = decodeUnreserved(rawPath)
  if (hasDotSegment(path)) return failure('the path holds a dot segment')
  return success({ path, query })
}
