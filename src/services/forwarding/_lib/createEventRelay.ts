/**
 * The events of one caller's stream, from however many backend servers: each
 * event once and in order. A server that is asked to go on may begin with events
 * that the caller has, and one that skips some can't be joined.
 */
import type { StreamEvent } from './createEventReader.js'

export type RelayedEvents = {
  /** What the caller lacks and is to get now, also when a gap follows: it counts as delivered. */
  readonly bytes: Uint8Array | undefined
  /** Which events are missing behind these bytes. */
  readonly gap: string | undefined
}

export type EventRelay = {
  /** The last event that the caller has; `undefined` before the first. */
  readonly lastEventId: () => number | undefined
  readonly take: (events: readonly StreamEvent[]) => RelayedEvents
}

const join = (parts: readonly Uint8Array[]): Uint8Array | undefined => parts.length > 1 ? Buffer.concat(parts) : parts[0]

/** Creates the relay of a caller that has the events up to `firstKnownId`. */
export const createEventRelay = (firstKnownId: number | undefined): EventRelay => {
  let lastEventId = firstKnownId
  return {
    lastEventId: () => lastEventId,
    take: (events) => {
      const wanted: Uint8Array[] = []
      for (const { bytes, id } of events) {
        if (id !== undefined && lastEventId !== undefined && id <= lastEventId) continue
        if (id !== undefined && lastEventId !== undefined && id > lastEventId + 1) return { bytes: join(wanted), gap: `event ${id} after ${lastEventId}` }
        lastEventId = id ?? lastEventId
        wanted.push(bytes)
      }
      return { bytes: join(wanted), gap: undefined }
    }
  }
}
