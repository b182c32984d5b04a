/**
 * Describes a caught value in one line, for logs and refusals.
 *
 * @param error - What was thrown.
 * @returns The name and the message of an error, or the value as text.
 *
 * @example
 * describeError(new TypeError('Invalid URL')) // => 'TypeError: Invalid URL'
 */
export const describeError = (error: unknown): string => error instanceof Error ? `${error.name}: ${error.message}` : String(error)
