/**
 * A listener that is opened before the program behind it is loaded, and is then
 * handed over to the program's server. Otherwise a starting node would refuse
 * connections meanwhile, and a refused caller retries late or not at all.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { PeerAddress } from '../../types/index.js'

export type HandoverListener = {
  /** Resolves with the address it listens on; rejects when the listener can't be opened. */
  readonly opened: Promise<PeerAddress>
  /** Passes the listener and the connections accepted so far to `server`, which serves them. */
  readonly handOver: (server: Server) => void
  /** Closes the listener; connections that were accepted stay open. */
  readonly stopAccepting: () => void
}

/** Length of the kernel's queue of connections while the program is loaded: all callers of a zone may connect at once. */
export const LISTENER_BACKLOG = 1_024

/**
 * Opens a listener; nothing is read from its connections until it is handed over.
 *
 * @param address - Where to listen.
 * @returns The listener.
 *
 * @example
 * const listener = openHandoverListener({ host: '127.0.0.1', port: 8080 })
 * listener.handOver(createServer(handle))
 */
export const openHandoverListener = ({ host, port }: PeerAddress): HandoverListener => {
  const held = new Set<Socket>()
  const holdSocket = (socket: Socket): void => {
    held.add(socket)
    socket.on('error', () => held.delete(socket))
  }
  const server = createServer({ pauseOnConnect: true }, holdSocket)
  const opened = new Promise<PeerAddress>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port, backlog: LISTENER_BACKLOG }, () => resolve({ host, port: (server.address() as AddressInfo).port }))
  })
  // The error is reported to the code that takes the listener over. Until that awaits `opened`, an unhandled rejection would end the process.
  opened.catch(() => {})
  return {
    opened,
    handOver: (receiver) => {
      server.off('connection', holdSocket)
      receiver.listen(server, LISTENER_BACKLOG)
      for (const socket of held) {
        receiver.emit('connection', socket)
        socket.resume()
      }
      held.clear()
    },
    stopAccepting: () => { server.close() }
  }
}
