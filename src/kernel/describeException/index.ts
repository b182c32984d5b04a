/** Describes a thrown value that nothing has caught, in fields of bounded length for one log line. */
import { describeError } from '../describeError/index.js'

export type ExceptionDescription = {
  readonly reason: string
  /** The place that threw, as far as it is known. */
  readonly part: string
  readonly stack: string | undefined
}

const MAXIMUM_REASON_LENGTH = 500
const MAXIMUM_STACK_LENGTH = 2_000
const STACK_FRAME = /^\s+at (.+)$/m

/** The value may be of any form: getters and conversions of it may throw as well. */
const read = <Value>(reader: () => Value, otherwise: Value): Value => {
  try {
    return reader()
  } catch {
    return otherwise
  }
}

/**
 * Describes the value.
 *
 * @param error - What was thrown.
 * @returns Its reason, the first frame of its stack, and the stack.
 *
 * @example
 * describeException(null) // => { reason: 'null', part: 'unknown', stack: undefined }
 */
export const describeException = (error: unknown): ExceptionDescription => {
  const stack = read(() => error instanceof Error ? String(error.stack).slice(0, MAXIMUM_STACK_LENGTH) : undefined, undefined)
  return {
    reason: read(() => describeError(error), 'a value that can\'t be described').slice(0, MAXIMUM_REASON_LENGTH),
    part: STACK_FRAME.exec(stack ?? '')?.[1] ?? 'unknown',
    stack
  }
}
