import type { Failure } from '../../types/index.js'

/**
 * Wraps an error value as the failure of an operation.
 *
 * @param error - A member of the operation's tagged union of errors.
 * @returns A `Result` that holds the error.
 *
 * @example
 * failure({ kind: 'timeout' }) // => { ok: false, error: { kind: 'timeout' } }
 */
export const failure = <Problem>(error: Problem): Failure<Problem> => ({ ok: false, error })
