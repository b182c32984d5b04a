/**
 * Recent maximum of a series in constant space: the maxima of the current and of
 * the previous time window.
 */

export type RecentMaximum = {
  readonly note: (value: number, now: number) => void
  /** The maximum over the last one to two windows. */
  readonly read: (now: number) => number
}

export const createRecentMaximum = (windowMs: number): RecentMaximum => {
  let bucket = -Infinity
  let value = 0
  let current = 0
  let previous = 0

  const roll = (now: number): void => {
    const bucketNow = Math.floor(now / windowMs)
    if (bucketNow === bucket) return
    previous = bucketNow === bucket + 1 ? current : value
    current = value
    bucket = bucketNow
  }

  return {
    note: (next, now) => {
      roll(now)
      value = next
      current = Math.max(current, next)
    },
    read: (now) => {
      roll(now)
      return Math.max(previous, current)
    }
  }
}
