/**
 * Tracks how long the latest streams of each route took, including those that still run:
 * counting only ended streams would bias the result towards short ones.
 */

export type StreamDurations = {
  /** Records the start of a stream, in monotonic milliseconds. */
  readonly begin: (route: string, at: number) => StreamDuration
  /**
   * Returns the share of streams that took longer than `milliseconds`, among those that began at least that
   * long ago. Where these are too few, a shorter time is used instead, which gives a higher share: the
   * estimate errs on the high side. `undefined` while too few streams are known.
   */
  readonly shareOver: (route: string, milliseconds: number, now: number) => number | undefined
}

export type StreamDuration = {
  /** The stream ended successfully, at this time in monotonic milliseconds. */
  readonly end: (at: number) => void
  /** The stream failed or its caller disconnected, so its duration does not count. */
  readonly forget: () => void
}

type Entry = { readonly beganAt: number, endedAt: number | undefined }

/** Streams kept for each route. */
const MAXIMUM_ENTRIES = 256
/** Older streams no longer reflect the current load; in milliseconds. */
const MAXIMUM_AGE_MS = 60_000
/** A share of fewer streams is not significant. */
const MINIMUM_ENTRIES = 20

/** Creates an empty record. */
export const createStreamDurations = (): StreamDurations => {
  const byRoute = new Map<string, Set<Entry>>()

  const dropOldest = (entries: Set<Entry>, now: number): void => {
    for (const entry of entries) {
      if (entries.size <= MAXIMUM_ENTRIES && now - entry.beganAt <= MAXIMUM_AGE_MS) return
      entries.delete(entry)
    }
  }

  const getEntries = (route: string): Set<Entry> => {
    const known = byRoute.get(route)
    if (known !== undefined) return known
    const created = new Set<Entry>()
    byRoute.set(route, created)
    return created
  }

  return {
    begin: (route, at) => {
      const entries = getEntries(route)
      const entry: Entry = { beganAt: at, endedAt: undefined }
      entries.add(entry)
      dropOldest(entries, at)
      return {
        end: (endedAt) => { entry.endedAt = endedAt },
        forget: () => { entries.delete(entry) }
      }
    },
    shareOver: (route, milliseconds, now) => {
      const latest = [...byRoute.get(route) ?? []].filter(({ beganAt }) => now - beganAt <= MAXIMUM_AGE_MS)
      const ages = latest.map(({ beganAt }) => now - beganAt).sort((left, right) => right - left)
      const maximumThresholdMs = ages[MINIMUM_ENTRIES - 1]
      if (maximumThresholdMs === undefined) return undefined
      const thresholdMs = Math.min(milliseconds, maximumThresholdMs)
      const oldEnough = latest.filter(({ beganAt }) => now - beganAt >= thresholdMs)
      const longer = oldEnough.filter(({ beganAt, endedAt }) => (endedAt ?? Infinity) - beganAt > thresholdMs)
      return longer.length / oldEnough.length
    }
  }
}
