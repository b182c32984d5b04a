/**
 * A listener that is open before the program behind it is loaded. Without it
 * each connection to a node that has just been started is refused until the
 * program is there, and a caller that was refused comes back late or not at all.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { PeerAddress } from '../../types/index.js'

export type EarlyListener = {
  /** Resolves with where it listens; rejects when it can't be opened. */
  readonly opened: Promise<PeerAddress>
  /** Serves the listener and the connections that came so far. */
  readonly handOver: (server: Server) => void
}

/** Connections that wait in the kernel's queue while the program is loaded: all of a zone's callers may come at once. */
export const LISTENER_BACKLOG = 1_024

/**
 * Opens a listener; connections wait unread until it is handed over.
 *
 * @param address - Where to listen.
 * @returns The listener.
 *
 * @example
 * const early = openEarlyListener({ host: '127.0.0.1', port: 8080 })
 * early.handOver(createServer(handle))
 */
export const openEarlyListener = ({ host, port }: PeerAddress): EarlyListener => {
  const held = new Set<Socket>()
  const hold = (socket: Socket): void => {
    held.add(socket)
    socket.on('error', () => held.delete(socket))
  }
  const server = createServer({ pauseOnConnect: true }, hold)
  const opened = new Promise<PeerAddress>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port, backlog: LISTENER_BACKLOG }, () => resolve({ host, port: (server.address() as AddressInfo).port }))
  })
  // Told to whoever takes the listener over; a rejection that nobody awaits yet would end the process.
  opened.catch(() => {})
  return {
    opened,
    handOver: (receiver) => {
      server.off('connection', hold)
      receiver.listen(server, LISTENER_BACKLOG)
      for (const socket of held) {
        receiver.emit('connection', socket)
        socket.resume()
      }
      held.clear()
    }
  }
}
