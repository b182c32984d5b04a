/**
 * Formats a wall-clock time as ISO 8601 in UTC.
 *
 * @param time - Milliseconds since 1970-01-01 UTC.
 * @returns The time with millisecond precision and the offset `Z`.
 *
 * @example
 * formatIsoTime(0) // => '1970-01-01T00:00:00.000Z'
 */
export const formatIsoTime = (time: number): string => new Date(time).toISOString()
