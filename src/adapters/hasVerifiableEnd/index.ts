/** Decides whether the end of an answer's body shows that it is whole. */

/** Values of headers by their names in lower case. */
export type AnswerHeaders = Readonly<Record<string, string | readonly string[] | undefined>>

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/**
 * Returns whether a truncated body differs from a whole one. A body that is ended only by the
 * close of its connection looks the same when its sender has crashed or the connection was reset,
 * so this takes a declared length or chunks.
 *
 * @param method - Method of the request; an answer to HEAD has no body.
 * @param status - Status of the answer.
 * @param headers - Headers of the answer.
 *
 * @example
 * hasVerifiableEnd('GET', 200, { 'content-length': '5' }) // => true
 */
export const hasVerifiableEnd = (method: string, status: number, headers: AnswerHeaders): boolean =>
  method === 'HEAD' ||
  BODILESS_STATUSES.has(status) ||
  headers['content-length'] !== undefined ||
  String(headers['transfer-encoding'] ?? '').toLowerCase().includes('chunked')
