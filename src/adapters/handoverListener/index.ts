/**
 * A listener that is opened before the program behind it is loaded, and is then
 * handed over to the program's server. Otherwise a starting node would refuse
 * connections meanwhile, and a refused caller retries late or not at all.
 */
import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { createSystemClock } from '../systemClock/index.js'
import { openListener } from '../openListener/index.js'
import type { Listener, OpenListenerOptions } from '../openListener/index.js'
import type { PeerAddress } from '../../types/index.js'

export type HandoverListener = Pick<Listener, 'tried' | 'opened' | 'isOpen'> & {
  /** The address that was asked for. */
  readonly address: PeerAddress
  /** For how long a connection has waited for the server, in milliseconds; `undefined` for those that did not. */
  readonly findHeldMs: (socket: Socket) => number | undefined
  /** Passes the listener and the connections accepted so far to `server`, which serves them. */
  readonly handOver: (server: Server) => void
  /** Closes the listener, or ends its tries; connections that were accepted stay open. */
  readonly stopAccepting: () => void
  /** The same, and closes the connections that were accepted and not handed over. */
  readonly discard: () => void
}

/** Length of the kernel's queue of connections while the program is loaded: all callers of a zone may connect at once. */
export const LISTENER_BACKLOG = 1_024

/**
 * Opens a listener, as soon as its port can be had; nothing is read from its connections until it is handed over.
 *
 * @param address - Where to listen.
 * @param options - What for, and the logger.
 * @returns The listener.
 *
 * @example
 * const listener = openHandoverListener({ host: '127.0.0.1', port: 8080 }, { part: 'callers' })
 * listener.handOver(createServer(handle))
 */
export const openHandoverListener = (address: PeerAddress, options: Pick<OpenListenerOptions, 'part' | 'logger' | 'retryMs'>): HandoverListener => {
  const { now } = createSystemClock()
  const held = new Map<Socket, number>()
  const holdSocket = (socket: Socket): void => {
    held.set(socket, now())
    socket.on('error', () => held.delete(socket))
  }
  const server = createServer({ pauseOnConnect: true }, holdSocket)
  const listener = openListener({ ...options, server, address, backlog: LISTENER_BACKLOG })
  return {
    address,
    tried: listener.tried,
    opened: listener.opened,
    isOpen: listener.isOpen,
    findHeldMs: (socket) => {
      const acceptedAt = held.get(socket)
      return acceptedAt === undefined ? undefined : now() - acceptedAt
    },
    handOver: (receiver) => {
      server.off('connection', holdSocket)
      receiver.listen(server, LISTENER_BACKLOG)
      for (const socket of held.keys()) {
        receiver.emit('connection', socket)
        socket.resume()
      }
      held.clear()
    },
    stopAccepting: listener.close,
    discard: () => {
      listener.close()
      for (const socket of held.keys()) socket.destroy()
      held.clear()
    }
  }
}
