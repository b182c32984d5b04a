/**
 * Splits an event stream into complete events without changing a byte. A truncated event
 * is never passed on, so that a stream can be resumed elsewhere at an event boundary.
 */

export type StreamEvent = { readonly bytes: Uint8Array, readonly id: number | undefined }

export type EventReader = {
  /** Returns the events that these bytes complete. */
  readonly push: (bytes: Uint8Array) => readonly StreamEvent[]
  /** Number of buffered bytes of an incomplete event. */
  readonly pendingBytes: () => number
}

const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const ID_LINE = /^id: ?(\d+)\r?$/m

/** Returns the index after the blank line that ends an event, or -1. */
const findEventEnd = (buffer: Buffer, from: number): number => {
  let at = buffer.indexOf(LINE_FEED, from)
  while (at >= 0) {
    const next = buffer[at + 1]
    if (next === LINE_FEED) return at + 2
    if (next === CARRIAGE_RETURN && buffer[at + 2] === LINE_FEED) return at + 3
    at = buffer.indexOf(LINE_FEED, at + 1)
  }
  return -1
}

const readId = (event: Buffer): number | undefined => {
  const match = ID_LINE.exec(event.toString('latin1'))
  return match === null ? undefined : Number(match[1])
}

/** Creates a reader for one answer. */
export const createEventReader = (): EventReader => {
  let pending: Buffer = Buffer.alloc(0)
  return {
    push: (bytes) => {
      pending = pending.length === 0 ? Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length) : Buffer.concat([pending, bytes])
      const events: StreamEvent[] = []
      let start = 0
      for (let end = findEventEnd(pending, start); end >= 0; end = findEventEnd(pending, start)) {
        const event = pending.subarray(start, end)
        events.push({ bytes: event, id: readId(event) })
        start = end
      }
      if (start > 0) pending = pending.subarray(start)
      return events
    },
    pendingBytes: () => pending.length
  }
}
