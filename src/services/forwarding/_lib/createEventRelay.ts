/**
 * Passes the events of one stream on to the caller, each once and in order, also when the
 * stream is resumed on another backend server. A server that resumes it may repeat events
 * that the caller has, which are dropped; events that are missing are reported as a gap.
 */
import type { StreamEvent } from './createEventReader.js'

export type RelayedEvents = {
  /** Events to send to the caller now, also when a gap follows; they count as delivered. */
  readonly bytes: Uint8Array | undefined
  /** Describes the events that are missing after these bytes. */
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
