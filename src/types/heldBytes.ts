/** What a node holds in memory for its callers, and the interface of the service that bounds it. */

export type HeldLimits = {
  /** For all requests together, in bytes. */
  readonly totalBytes: number
  /** For the answer of one connection, in bytes. */
  readonly callerBytes: number
}

/** Why a connection was ended: the node's bound, or because nothing was read for the connection's idle time. */
export type HeldEnd = 'memory' | 'unread'

/** What the bytes of one request are: its body, an answer that is not passed on yet, written bytes that the caller has not read, or what a paused answer has in the connection to its server. */
export type HeldKind = 'requestBody' | 'bufferedAnswer' | 'unreadAnswer' | 'pausedAnswer'

/** The connection of one request, as the service sees it. */
export type HeldRequest = {
  readonly requestId: string
  /** Bytes of the answer that the connection has not taken yet. */
  readonly readUnreadBytes: () => number
  /** Unread for this long, the connection is ended; in milliseconds. */
  readonly maximumUnreadMs: number
  /** Breaks the connection. */
  readonly end: () => void
}

export type HeldEntry = {
  /** Sets the size of the request's body so far; false when the node has no room for it. */
  readonly recordBody: (bytes: number) => boolean
  /** Sets the size of the part of the answer that is buffered until it is complete. */
  readonly recordBuffered: (bytes: number) => void
  /** Bytes were written to the caller; returns whether the answer may go on, or is to be paused. */
  readonly recordWrite: (bytes: number) => boolean
  /** Calls the listener once, when a paused answer may go on; until then `readPausedBytes` tells what its own connection holds. */
  readonly onResume: (listener: () => void, readPausedBytes: () => number) => void
  /** Bytes that the answer may hold now. */
  readonly readAllowance: () => number
  /** The connection has taken bytes. */
  readonly recordRead: () => void
  readonly close: () => void
}

export type HeldBytes = {
  /** Starts to count a request; `undefined` where there is no bound. */
  readonly open: (request: HeldRequest) => HeldEntry | undefined
  /** Whether a request may come in whose body has this many bytes. */
  readonly hasRoomFor: (bodyBytes: number) => boolean
  readonly countBytes: () => Readonly<Record<HeldKind, number>>
}
