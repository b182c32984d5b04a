import * as z from 'zod/mini'

const MINUTE_PRECISION = -1
const isoTime = z.union([z.iso.datetime({ offset: true }), z.iso.datetime({ offset: true, precision: MINUTE_PRECISION })])

/**
 * Parses an ISO 8601 time with an offset from UTC.
 *
 * A time without an offset is rejected: operators and routers may be in different
 * time zones, and a planned stop must not start an hour early.
 *
 * @param text - For example `2026-03-29T02:30:00+02:00` or `2026-03-29T00:30:00Z`.
 * @returns Milliseconds since 1970-01-01 UTC; `undefined` if the text is not such a time or the date does not exist.
 *
 * @example
 * parseIsoTime('1970-01-01T01:00:00+01:00') // => 0
 */
export const parseIsoTime = (text: string): number | undefined => {
  if (!isoTime.safeParse(text).success) return undefined
  const time = Date.parse(text)
  return Number.isNaN(time) ? undefined : time
}
