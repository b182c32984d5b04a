/** Keeps the software versions at which streams began, for a time and up to a number. */
import type { Clock, StreamBegin } from '../../../types/index.js'

export type StreamBegins = {
  readonly record: (service: string, begin: StreamBegin) => void
  readonly find: (service: string, requestId: string) => string | undefined
  /** Records of a service that are not older than `withinMs` milliseconds. */
  readonly list: (service: string, withinMs: number) => readonly StreamBegin[]
  readonly size: () => number
}

type Entry = StreamBegin & { readonly service: string, readonly recordedAt: number }

const formatKey = (service: string, requestId: string): string => `${service} ${requestId}`

/** Creates the records; the oldest one makes place for a new one beyond `maximumRecords`. */
export const createStreamBegins = (clock: Pick<Clock, 'now'>, { maximumRecords, lifetimeMs }: { readonly maximumRecords: number, readonly lifetimeMs: number }): StreamBegins => {
  /** Oldest first. */
  const entries = new Map<string, Entry>()

  const removeOld = (): void => {
    for (const [key, { recordedAt }] of entries) {
      if (entries.size <= maximumRecords && recordedAt >= clock.now() - lifetimeMs) return
      entries.delete(key)
    }
  }

  return {
    record: (service, { requestId, softwareVersion }) => {
      const key = formatKey(service, requestId)
      entries.delete(key)
      entries.set(key, { service, requestId, softwareVersion, recordedAt: clock.now() })
      removeOld()
    },
    find: (service, requestId) => {
      const entry = entries.get(formatKey(service, requestId))
      return entry === undefined || entry.recordedAt < clock.now() - lifetimeMs ? undefined : entry.softwareVersion
    },
    list: (service, withinMs) => [...entries.values()]
      .filter((entry) => entry.service === service && entry.recordedAt >= clock.now() - withinMs)
      .map(({ requestId, softwareVersion }) => ({ requestId, softwareVersion })),
    size: () => entries.size
  }
}
