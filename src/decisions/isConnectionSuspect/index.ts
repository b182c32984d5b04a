import type { SourceError } from '../../types/index.js'

/**
 * Tells whether a read may have failed because of its connection alone, and so says nothing about the source.
 *
 * @param error - Why the read failed; `undefined` if it did not.
 * @returns Whether another connection may work.
 *
 * @example
 * isConnectionSuspect({ kind: 'unavailable', message: 'no reply', isConnectionSuspect: true }) // => true
 */
export const isConnectionSuspect = (error: SourceError | undefined): boolean => error?.kind === 'unavailable' && error.isConnectionSuspect === true
