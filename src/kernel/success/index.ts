import type { Success } from '../../types/index.js'

/**
 * Wraps a value as the success of an operation.
 *
 * @param value - The result of the operation.
 * @returns A `Result` that holds the value.
 *
 * @example
 * success(3) // => { ok: true, value: 3 }
 */
export const success = <Value>(value: Value): Success<Value> => ({ ok: true, value })
