/** Tracks a listener's connections: their open requests, and on which of them a request may be on its way. */
import type { Socket } from 'node:net'
import { afterTurn } from '../../afterTurn/index.js'
import type { Clock } from '../../../types/index.js'

/** When this side closed a connection, and whether it had carried a request before. */
export type ClosedConnection = { readonly at: number, readonly wasUsed: boolean }

export type Connections = {
  /** The connection may have been opened `unreadMs` milliseconds ago. */
  readonly accept: (socket: Socket, unreadMs: number) => void
  /** For how many milliseconds the request that is read now on a connection has lain unread at most, on a node that has read nothing for `readDelayMs`. */
  readonly computeUnreadMs: (socket: Socket, readDelayMs: number) => number
  readonly beginRequest: (socket: Socket) => void
  readonly endRequest: (socket: Socket) => void
  readonly hasOpenRequest: (socket: Socket) => boolean
  /** Whether a request is open on a connection, partly received, or may be on its way. */
  readonly isAwaited: (socket: Socket) => boolean
  /** Whether that holds for any connection that this side has not closed. */
  readonly isAnyAwaited: () => boolean
  /** Closes the connections that are not awaited, once what has arrived is read. */
  readonly closeIdle: () => void
  /** Closes a connection whose idle timeout has passed, unless bytes turn out to have arrived on it. */
  readonly closeExpired: (socket: Socket) => void
  readonly findClosed: (socket: Socket) => ClosedConnection | undefined
  readonly count: () => number
  /** Number of connections since the start. */
  readonly countAccepted: () => number
  readonly destroyAll: () => void
}

type Connection = {
  readonly acceptedAt: number
  readonly arrivedAt: number
  /** Whether what arrived with the connection may not have been read yet. */
  isUnread: boolean
  openRequests: number
  wasUsed: boolean
  /** When its last answer ended. */
  quietSince: number
  /** Bytes read from it when its last answer ended. */
  bytesRead: number
  closed: ClosedConnection | undefined
}

/** Callers send their first request right after they connect; a starved network or node delays it by up to some hundred milliseconds. */
const MAXIMUM_FIRST_REQUEST_MS = 1_000
/** A caller that reuses a connection at once must find it open. */
const MINIMUM_QUIET_MS = 200

/** Creates the tracker; it knows the sockets that it is told of. */
export const createConnections = (clock: Pick<Clock, 'now'>): Connections => {
  const connections = new Map<Socket, Connection>()
  /** Outlives the connections: a request that arrives last is handled after the connection was closed. */
  const closedConnections = new WeakMap<Socket, ClosedConnection>()
  let accepted = 0

  const hasReceived = (socket: Socket, { openRequests, bytesRead }: Connection): boolean => openRequests > 0 || socket.bytesRead !== bytesRead

  const isAwaited = (socket: Socket): boolean => {
    const connection = connections.get(socket)
    if (connection === undefined || connection.closed !== undefined) return false
    if (hasReceived(socket, connection)) return true
    return connection.wasUsed
      ? clock.now() - connection.quietSince < MINIMUM_QUIET_MS
      : clock.now() - connection.acceptedAt < MAXIMUM_FIRST_REQUEST_MS
  }

  const recordClosed = (socket: Socket, connection: Connection): void => {
    connection.closed ??= { at: clock.now(), wasUsed: connection.wasUsed }
    closedConnections.set(socket, connection.closed)
  }

  const closeIdle = (): void => {
    for (const [socket, connection] of connections) {
      if (connection.closed !== undefined || isAwaited(socket)) continue
      recordClosed(socket, connection)
      socket.end()
    }
  }

  return {
    accept: (socket, unreadMs) => {
      const now = clock.now()
      const connection: Connection = { acceptedAt: now, arrivedAt: now - unreadMs, isUnread: unreadMs > 0, openRequests: 0, wasUsed: false, quietSince: now, bytesRead: 0, closed: undefined }
      accepted += 1
      if (connection.isUnread) afterTurn(() => { connection.isUnread = false })
      connections.set(socket, connection)
      socket.on('close', () => connections.delete(socket))
    },
    computeUnreadMs: (socket, readDelayMs) => {
      const connection = connections.get(socket)
      return connection?.isUnread === true ? clock.now() - connection.arrivedAt : readDelayMs
    },
    beginRequest: (socket) => {
      const connection = connections.get(socket)
      if (connection === undefined) return
      connection.openRequests += 1
      connection.wasUsed = true
    },
    endRequest: (socket) => {
      const connection = connections.get(socket)
      if (connection === undefined) return
      connection.openRequests -= 1
      connection.quietSince = clock.now()
      connection.bytesRead = socket.bytesRead
    },
    hasOpenRequest: (socket) => (connections.get(socket)?.openRequests ?? 0) > 0,
    isAwaited,
    isAnyAwaited: () => [...connections.keys()].some(isAwaited),
    closeIdle: () => afterTurn(closeIdle),
    closeExpired: (socket) => {
      const { bytesRead } = socket
      afterTurn(() => {
        const connection = connections.get(socket)
        if (connection === undefined || connection.openRequests > 0 || socket.bytesRead !== bytesRead) return
        recordClosed(socket, connection)
        socket.destroy()
      })
    },
    findClosed: (socket) => closedConnections.get(socket),
    count: () => connections.size,
    countAccepted: () => accepted,
    destroyAll: () => { for (const socket of connections.keys()) socket.destroy() }
  }
}
