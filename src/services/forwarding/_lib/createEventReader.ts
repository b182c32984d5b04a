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
/** Bytes of the end of an event: of these the last may be the next to arrive. */
const END_BYTES = 3
const MINIMUM_ROOM_BYTES = 1_024
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
  /** The incomplete event, and room to copy its rest into. */
  let store: Buffer = Buffer.alloc(0)
  let pending: Buffer = store
  /** Bytes of `pending` in which no event ends. */
  let searched = 0

  /** Copies what is pending only when the room is used up: an event in pieces of a byte is not copied for each of them. */
  const append = (bytes: Uint8Array): void => {
    const length = pending.length + bytes.length
    if (store.length < length) {
      store = Buffer.allocUnsafe(Math.max(MINIMUM_ROOM_BYTES, 2 * length))
      store.set(pending)
    }
    store.set(bytes, pending.length)
    pending = store.subarray(0, length)
  }

  const take = (bytes: Uint8Array): void => {
    if (pending.length > 0) return append(bytes)
    store = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
    pending = store
  }

  return {
    push: (bytes) => {
      take(bytes)
      const events: StreamEvent[] = []
      let start = 0
      let from = Math.max(0, searched - END_BYTES)
      for (let end = findEventEnd(pending, from); end >= 0; end = findEventEnd(pending, from)) {
        const event = pending.subarray(start, end)
        events.push({ bytes: event, id: readId(event) })
        start = end
        from = end
      }
      if (start > 0) {
        pending = pending.subarray(start)
        store = store.subarray(start)
      }
      searched = pending.length
      return events
    },
    pendingBytes: () => pending.length
  }
}
