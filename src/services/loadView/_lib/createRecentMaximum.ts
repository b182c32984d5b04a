/**
 * Recent maximum of a series in constant space: the maxima of the current and of
 * the previous time window.
 */

export type RecentMaximum = {
  readonly record: (value: number, now: number) => void
  /** The maximum over the last one to two windows. */
  readonly read: (now: number) => number
}

export const createRecentMaximum = (windowMs: number): RecentMaximum => {
  let windowIndex = -Infinity
  let value = 0
  let current = 0
  let previous = 0

  const advanceWindow = (now: number): void => {
    const currentIndex = Math.floor(now / windowMs)
    if (currentIndex === windowIndex) return
    previous = currentIndex === windowIndex + 1 ? current : value
    current = value
    windowIndex = currentIndex
  }

  return {
    record: (next, now) => {
      advanceWindow(now)
      value = next
      current = Math.max(current, next)
    },
    read: (now) => {
      advanceWindow(now)
      return Math.max(previous, current)
    }
  }
}
