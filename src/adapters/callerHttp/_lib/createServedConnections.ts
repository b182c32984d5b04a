/** Tracks which connections owe answers to requests that have arrived completely. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'

export type ServedConnections = {
  /** The head of a request has arrived; it is served until its answer or its connection closes. */
  readonly begin: (message: IncomingMessage, response: ServerResponse) => void
  /** Whether the next bytes that are written to the connection belong to the answer of a complete request. */
  readonly isServing: (socket: Duplex) => boolean
}

const NO_MESSAGES: ReadonlySet<IncomingMessage> = new Set()

/** Creates the tracker; it knows the requests that it is told of. */
export const createServedConnections = (): ServedConnections => {
  const messages = new WeakMap<Duplex, Set<IncomingMessage>>()

  return {
    begin: (message, response) => {
      const open = messages.get(message.socket) ?? new Set()
      messages.set(message.socket, open.add(message))
      response.once('close', () => { open.delete(message) })
    },
    isServing: (socket) => [...messages.get(socket) ?? NO_MESSAGES].some(({ complete }) => complete)
  }
}
