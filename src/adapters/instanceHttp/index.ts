/**
 * Sends requests to backend servers over HTTP/1.1. Each connection is one
 * undici client without pipelining, so that it is known which connection carries
 * a request, whether a byte of it was written, and how long it was idle before.
 */
import { connect } from 'node:net'
import { buildConnector, Client } from 'undici'
import type { Dispatcher } from 'undici'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import type { BackendInstance, Clock, Exchange, ExchangeListener, GatewayAttempt, GatewayDialect, HeaderList, InstanceClient, PeerAddress } from '../../types/index.js'

export type InstanceHttpOptions = {
  readonly clock: Clock
  readonly dialect: Pick<GatewayDialect, 'encodeAttempt' | 'decodeAnswer'>
  readonly connectTimeoutMs?: number
  /** Returns where this node reaches the address of a backend server; that address itself by default. */
  readonly resolveAddress?: (address: PeerAddress) => PeerAddress
}

type Connection = { readonly client: Client, lastUsedAt: number, isBusy: boolean, isClosed: boolean, isReset: boolean }

/**
 * Connect timeout. TCP retransmits a lost first packet only after a second; it
 * is faster to try another server. A round trip to another zone takes about
 * 10 ms, and the processor of a small VM may pause for up to 100 ms.
 */
const CONNECT_TIMEOUT_MS = 200
/** Maximum number of idle connections per server, kept open for its next burst of requests. */
const MAXIMUM_IDLE_CONNECTIONS = 32
/** Maximum idle time of a reused connection. The server may have closed an older one while its FIN is still in transit, and a request that can't be retried would be lost. */
const MAXIMUM_REUSE_IDLE_MS = 1_500
const MAXIMUM_IDLE_MS = 60_000
/** An idle connection is closed this long before the end of the server's stated keep-alive timeout. */
const IDLE_MARGIN_MS = 1_000

const listHeaders = (raw: readonly Buffer[]): HeaderList => {
  const headers: [string, string][] = []
  for (let index = 0; index + 1 < raw.length; index += 2) headers.push([raw[index]!.toString('latin1'), raw[index + 1]!.toString('latin1')])
  return headers
}

/**
 * Creates the client of one node.
 *
 * @param options - Clock, dialect, and the connect timeout in milliseconds.
 * @returns The client; connections are opened as needed.
 *
 * @example
 * const client = createInstanceHttp({ clock, dialect })
 * client.send(attempt, listener).abort()
 */
export const createInstanceHttp = (options: InstanceHttpOptions): InstanceClient => {
  const { clock, dialect, resolveAddress = (address) => address } = options
  const pools = new Map<string, Set<Connection>>()

  const drop = (pool: Set<Connection>, connection: Connection): void => {
    if (connection.isClosed) return
    connection.isClosed = true
    pool.delete(connection)
    connection.client.destroy().catch(() => { /* its requests have been notified already */ })
  }

  const connector = buildConnector({ timeout: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS, noDelay: true })

  const open = (pool: Set<Connection>, instance: BackendInstance): Connection => {
    const { host, port } = resolveAddress(instance.address)
    const client = new Client(`http://${host}:${port}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: MAXIMUM_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (target, callback) => connector(target, (...result) => {
        const [, socket] = result
        // undici takes a reset for the end of an answer without a length, and the event
        // loop reports a reset right after some bytes as an orderly end. A partial answer
        // would pass for a complete one. A socket that was reset has no remote address any
        // more, one that was closed in order still has. These listeners run before undici's.
        socket?.on('error', () => { connection.isReset = true })
        socket?.on('end', () => { connection.isReset ||= socket.remoteAddress === undefined })
        callback(...result)
      })
    })
    const connection: Connection = { client, lastUsedAt: clock.now(), isBusy: false, isClosed: false, isReset: false }
    client.on('disconnect', () => drop(pool, connection))
    client.on('connectionError', () => drop(pool, connection))
    pool.add(connection)
    return connection
  }

  const selectIdle = (pool: Set<Connection>): Connection | undefined => {
    let mostRecent: Connection | undefined
    for (const connection of pool) {
      if (connection.isBusy || connection.isClosed) continue
      if (mostRecent === undefined || connection.lastUsedAt > mostRecent.lastUsedAt) mostRecent = connection
    }
    if (mostRecent === undefined || clock.now() - mostRecent.lastUsedAt <= MAXIMUM_REUSE_IDLE_MS) return mostRecent
    // All idle connections have been idle for too long. They are closed now, since none of them will be used again.
    for (const connection of [...pool]) if (!connection.isBusy) drop(pool, connection)
    return undefined
  }

  const release = (pool: Set<Connection>, connection: Connection): void => {
    connection.isBusy = false
    connection.lastUsedAt = clock.now()
    let idle = 0
    for (const other of pool) if (!other.isBusy) idle += 1
    if (idle > MAXIMUM_IDLE_CONNECTIONS) drop(pool, connection)
  }

  const send = (attempt: GatewayAttempt, listener: ExchangeListener): Exchange => {
    const key = formatInstanceKey(attempt.instance)
    let pool = pools.get(key)
    if (pool === undefined) {
      pool = new Set()
      pools.set(key, pool)
    }
    const ownPool = pool
    const connection = selectIdle(ownPool) ?? open(ownPool, attempt.instance)
    connection.isBusy = true
    let isSent = false
    let isWithdrawn = false
    let isFinished = false
    let resume: (() => void) | undefined
    let isPaused = false

    const fail = (error: NodeJS.ErrnoException): void => {
      if (isFinished) return
      isFinished = true
      drop(ownPool, connection)
      const message = `${error.code ?? error.name}: ${error.message}`
      if (isWithdrawn) return listener.onFailure({ kind: 'withdrawn', message })
      // Only `isSent` proves whether the request was sent. The error codes of a failed
      // connect also occur after the request was sent, when the route to the server is lost.
      listener.onFailure(isSent ? { kind: 'broken', message } : { kind: 'notSent', message })
    }

    const handler: Dispatcher.DispatchHandler = {
      onConnect: (abort) => {
        if (!listener.maySend()) {
          isWithdrawn = true
          return abort(new Error('the backend server may not get the request any more'))
        }
        isSent = true
        listener.onSent()
      },
      onHeaders: (status, rawHeaders, resumeReading) => {
        if (status < 200) return true
        resume = resumeReading
        if (!isFinished) listener.onHead(dialect.decodeAnswer(status, listHeaders(rawHeaders)))
        return !isPaused
      },
      onData: (chunk) => {
        if (!isFinished) listener.onData(chunk)
        return !isPaused
      },
      onComplete: () => {
        if (isFinished) return
        if (connection.isReset) return fail(new Error('the connection was reset in the middle of the answer'))
        isFinished = true
        release(ownPool, connection)
        listener.onEnd()
      },
      onError: fail
    }
    const options: Dispatcher.DispatchOptions & { readonly servername: string } = {
      method: attempt.request.method as Dispatcher.HttpMethod,
      path: attempt.request.target,
      headers: dialect.encodeAttempt(attempt) as string[],
      body: attempt.body.length > 0 ? attempt.body : null,
      // Not used without TLS. Without it undici derives a name from the host of each request, which compiles a regular expression for IPv6 addresses at the first request.
      servername: attempt.instance.address.host
    }
    connection.client.dispatch(options, handler)

    return {
      abort: () => {
        isFinished = true
        drop(ownPool, connection)
      },
      pause: () => { isPaused = true },
      resume: () => {
        if (!isPaused) return
        isPaused = false
        resume?.()
      }
    }
  }

  const probe = (instance: BackendInstance): Promise<boolean> => new Promise((resolve) => {
    const socket = connect(resolveAddress(instance.address))
    const finish = (isReached: boolean): void => {
      limit.cancel()
      socket.destroy()
      resolve(isReached)
    }
    const limit = clock.setTimer(options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS, () => finish(false))
    socket.once('connect', () => finish(true))
    socket.once('error', () => finish(false))
  })

  return {
    send,
    probe,
    retain: (live) => {
      for (const [key, pool] of pools) {
        if (live.has(key)) continue
        for (const connection of [...pool]) if (!connection.isBusy) drop(pool, connection)
        if (pool.size === 0) pools.delete(key)
      }
    },
    close: () => {
      for (const pool of pools.values()) for (const connection of [...pool]) drop(pool, connection)
    }
  }
}
