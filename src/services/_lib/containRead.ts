/**
 * Keeps what throws in one read of a source, or in the decoding of one message, from ending the process. Neither changes
 * any state, so that the process can go on. What throws while state is changed is not caught.
 */
import { failure } from '../../kernel/index.js'
import type { Result, SourceError } from '../../types/index.js'

const describe = (error: unknown): SourceError =>
  ({ kind: 'malformed', message: error instanceof Error ? `${error.name}: ${error.message}` : 'what was read can\'t be decoded' })

/** Runs one read; one that throws counts as failed, and `onThrown` is called. */
export const containRead = async <Value>(read: () => Promise<Result<Value, SourceError>>, onThrown: () => void = () => {}): Promise<Result<Value, SourceError>> => {
  try {
    return await read()
  } catch (error) {
    onThrown()
    return failure(describe(error))
  }
}

/** Runs a decoder; what it throws for is malformed, and `onThrown` is called. */
export const containDecoding = <Value>(decode: () => Result<Value, SourceError>, onThrown: () => void = () => {}): Result<Value, SourceError> => {
  try {
    return decode()
  } catch (error) {
    onThrown()
    return failure(describe(error))
  }
}
