import type { SourceError } from '../../types/index.js'

/**
 * Describes briefly why a source could not be read.
 *
 * @param error - The source's error.
 * @returns Its message, or its kind where it has no message.
 *
 * @example
 * describeSourceError({ kind: 'notFound' }) // => 'notFound'
 */
export const describeSourceError = (error: SourceError): string =>
  'message' in error ? error.message : error.kind
