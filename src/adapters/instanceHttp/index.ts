/**
 * Exchanges with backend servers over HTTP/1.1. Each connection is one undici
 * client without pipelining, so that it is known which connection a request is
 * on, whether a byte of it was written, and how long the connection was idle.
 */
import { connect } from 'node:net'
import { buildConnector, Client } from 'undici'
import type { Dispatcher } from 'undici'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import type { BackendInstance, Clock, Exchange, ExchangeListener, GatewayAttempt, GatewayDialect, HeaderList, InstanceClient } from '../../types/index.js'

export type InstanceHttpOptions = {
  readonly clock: Clock
  readonly dialect: Pick<GatewayDialect, 'encodeAttempt' | 'decodeAnswer'>
  readonly connectTimeoutMs?: number
}

type Connection = { readonly client: Client, lastUsedAt: number, isBusy: boolean, isDead: boolean, isReset: boolean }

/**
 * Time for a new connection: a lost first packet is sent again after a second,
 * and another server is found sooner than that. The way to another zone and
 * back takes some 10 ms, a processor pause of a small VM up to 100 ms.
 */
const CONNECT_TIMEOUT_MS = 200
/** Idle connections that are kept for a server's next burst. */
const IDLE_CONNECTIONS_KEPT = 32
/** An idle connection may have been closed by the server, with the news still on its way; requests that can't be repeated take only younger ones. */
const FRESH_IDLE_MS = 1_500
const LONGEST_IDLE_MS = 60_000
/** Before a server's stated idle limit, its connection is closed here by this margin. */
const IDLE_MARGIN_MS = 1_000

const listHeaders = (raw: readonly Buffer[]): HeaderList => {
  const headers: [string, string][] = []
  for (let index = 0; index + 1 < raw.length; index += 2) headers.push([raw[index]!.toString('latin1'), raw[index + 1]!.toString('latin1')])
  return headers
}

/**
 * Creates the client of one node.
 *
 * @param options - Clock, the wire's names, and the connect timeout in milliseconds.
 * @returns The client; connections are opened as needed.
 *
 * @example
 * const client = createInstanceHttp({ clock, dialect })
 * client.send(attempt, listener).abort()
 */
export const createInstanceHttp = (options: InstanceHttpOptions): InstanceClient => {
  const { clock, dialect } = options
  const pools = new Map<string, Set<Connection>>()

  const drop = (pool: Set<Connection>, connection: Connection): void => {
    if (connection.isDead) return
    connection.isDead = true
    pool.delete(connection)
    connection.client.destroy().catch(() => { /* its requests were told already */ })
  }

  const connector = buildConnector({ timeout: options.connectTimeoutMs ?? CONNECT_TIMEOUT_MS, noDelay: true })

  const open = (pool: Set<Connection>, instance: BackendInstance): Connection => {
    const client = new Client(`http://${instance.address.host}:${instance.address.port}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: LONGEST_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (target, callback) => connector(target, (...result) => {
        const [, socket] = result
        // The client takes a reset for the end of an answer that has no length, and the
        // loop shows a reset right behind some bytes as an orderly end. A part of the
        // answer would pass for the whole. A connection that was reset has no peer any
        // more, one that was closed in order still has. These listeners are told first.
        socket?.on('error', () => { connection.isReset = true })
        socket?.on('end', () => { connection.isReset ||= socket.remoteAddress === undefined })
        callback(...result)
      })
    })
    const connection: Connection = { client, lastUsedAt: clock.now(), isBusy: false, isDead: false, isReset: false }
    client.on('disconnect', () => drop(pool, connection))
    client.on('connectionError', () => drop(pool, connection))
    pool.add(connection)
    return connection
  }

  const findIdle = (pool: Set<Connection>): Connection | undefined => {
    let youngest: Connection | undefined
    for (const connection of pool) {
      if (connection.isBusy || connection.isDead) continue
      if (youngest === undefined || connection.lastUsedAt > youngest.lastUsedAt) youngest = connection
    }
    if (youngest === undefined || clock.now() - youngest.lastUsedAt <= FRESH_IDLE_MS) return youngest
    // All idle ones are old: they go, rather than wait to be found closed.
    for (const connection of [...pool]) if (!connection.isBusy) drop(pool, connection)
    return undefined
  }

  const release = (pool: Set<Connection>, connection: Connection): void => {
    connection.isBusy = false
    connection.lastUsedAt = clock.now()
    let idle = 0
    for (const other of pool) if (!other.isBusy) idle += 1
    if (idle > IDLE_CONNECTIONS_KEPT) drop(pool, connection)
  }

  const send = (attempt: GatewayAttempt, listener: ExchangeListener): Exchange => {
    const key = formatInstanceKey(attempt.instance)
    let pool = pools.get(key)
    if (pool === undefined) {
      pool = new Set()
      pools.set(key, pool)
    }
    const own = pool
    const connection = findIdle(own) ?? open(own, attempt.instance)
    connection.isBusy = true
    let isSent = false
    let isOver = false
    let resume: (() => void) | undefined
    let isPaused = false

    const fail = (error: NodeJS.ErrnoException): void => {
      if (isOver) return
      isOver = true
      drop(own, connection)
      const message = `${error.code ?? error.name}: ${error.message}`
      // Only this proves it: the codes of a failed connect come on a connection that
      // carried the request as well, when the way to its server is lost.
      listener.onFailure(isSent ? { kind: 'broken', message } : { kind: 'notSent', message })
    }

    const handler: Dispatcher.DispatchHandler = {
      onConnect: () => {
        isSent = true
        listener.onSent()
      },
      onHeaders: (status, rawHeaders, resumeReading) => {
        if (status < 200) return true
        resume = resumeReading
        if (!isOver) listener.onHead(dialect.decodeAnswer(status, listHeaders(rawHeaders)))
        return !isPaused
      },
      onData: (chunk) => {
        if (!isOver) listener.onData(chunk)
        return !isPaused
      },
      onComplete: () => {
        if (isOver) return
        if (connection.isReset) return fail(new Error('reset in the middle of the answer'))
        isOver = true
        release(own, connection)
        listener.onEnd()
      },
      onError: fail
    }
    const options: Dispatcher.DispatchOptions & { readonly servername: string } = {
      method: attempt.request.method as Dispatcher.HttpMethod,
      path: attempt.request.target,
      headers: dialect.encodeAttempt(attempt) as string[],
      body: attempt.body.length > 0 ? attempt.body : null,
      // Of no use without TLS; left out, the client derives it from the host of each request, and its first use compiles a pattern of IPv6 addresses.
      servername: attempt.instance.address.host
    }
    connection.client.dispatch(options, handler)

    return {
      abort: () => {
        isOver = true
        drop(own, connection)
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
    const socket = connect({ host: instance.address.host, port: instance.address.port })
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
