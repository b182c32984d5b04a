/**
 * How long the latest streams of each route took, those included that still
 * run: without them the few that ended soon would speak for all.
 */

export type StreamDurations = {
  /** Notes the begin of a stream, in monotonic milliseconds. */
  readonly begin: (route: string, at: number) => StreamDuration
  /**
   * Share of the streams that took longer, of those begun at least as long ago. Where these are too few, a
   * shorter time takes the place of `milliseconds`: more streams pass it, so that the share is rather too
   * high. `undefined` while too few streams are known at all.
   */
  readonly shareOver: (route: string, milliseconds: number, now: number) => number | undefined
}

export type StreamDuration = {
  /** It ended well, at this time. */
  readonly end: (at: number) => void
  /** It failed or its caller left, so that it says nothing of how long streams take. */
  readonly forget: () => void
}

type Entry = { readonly beganAt: number, endedAt: number | undefined }

/** So many streams of a route are kept at most. */
const MAXIMUM_ENTRIES = 256
/** Older streams say little of the load now, in milliseconds. */
const MAXIMUM_AGE_MS = 60_000
/** A share of fewer streams is chance. */
const LEAST_ENTRIES = 20

/** Creates the record, empty. */
export const createStreamDurations = (): StreamDurations => {
  const byRoute = new Map<string, Set<Entry>>()

  const dropOldest = (entries: Set<Entry>, now: number): void => {
    for (const entry of entries) {
      if (entries.size <= MAXIMUM_ENTRIES && now - entry.beganAt <= MAXIMUM_AGE_MS) return
      entries.delete(entry)
    }
  }

  const listEntries = (route: string): Set<Entry> => {
    const known = byRoute.get(route)
    if (known !== undefined) return known
    const created = new Set<Entry>()
    byRoute.set(route, created)
    return created
  }

  return {
    begin: (route, at) => {
      const entries = listEntries(route)
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
      const leastAge = ages[LEAST_ENTRIES - 1]
      if (leastAge === undefined) return undefined
      const passedMs = Math.min(milliseconds, leastAge)
      const begunInTime = latest.filter(({ beganAt }) => now - beganAt >= passedMs)
      const late = begunInTime.filter(({ beganAt, endedAt }) => (endedAt ?? Infinity) - beganAt > passedMs)
      return late.length / begunInTime.length
    }
  }
}
