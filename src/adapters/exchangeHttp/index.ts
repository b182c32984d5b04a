/**
 * Exchanges single HTTP/1.1 requests and answers. Each connection is one undici client
 * without pipelining, so that it is known which connection carries a request, whether a
 * byte of it was written, and how long it was idle before.
 */
import type { Socket } from 'node:net'
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
import { classifyStatus } from '../classifyStatus/index.js'
import type { ContainedErrorReporter } from '../containedEvents/index.js'
import { awaitShortTurn, type ReadState } from './_lib/awaitShortTurn.js'
import { createAnswerFlow } from './_lib/createAnswerFlow.js'
import { createConnector } from './_lib/createConnector.js'
import { createOverheadMeter, type OverheadMeter } from './_lib/createOverheadMeter.js'
import { listHeaders } from './_lib/listHeaders.js'
import { createReadGate, type ReadGate } from './_lib/createReadGate.js'
import { createUploads } from './_lib/createUploads.js'
import type { SlowUpload, UploadListener } from './_lib/createUploads.js'
import type { Clock, Exchange, ExchangeListener, HeaderList, InstanceAnswer, PeerAddress, UploadBytes } from '../../types/index.js'

export type { SlowUpload }

export type ExchangeHttpOptions = {
  readonly clock: Clock
  readonly decodeAnswer: (status: number, headers: HeaderList) => InstanceAnswer
  /** Connect timeout in milliseconds. */
  readonly connectTimeoutMs: number
  /** Told when a receiver does not take the bodies of requests; not observed when omitted. */
  readonly uploadListener?: UploadListener | undefined
  /** Told of what is thrown in an event of a connection; it ends that exchange. */
  readonly reportError?: ContainedErrorReporter | undefined
}

export type OutgoingRequest = {
  /** Identifies the receiver: connections are reused for requests with the same key. */
  readonly key: string
  readonly address: PeerAddress
  readonly method: string
  readonly target: string
  /** Names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Uint8Array
}

export type ExchangeHttp = {
  readonly send: (request: OutgoingRequest, listener: ExchangeListener) => Exchange
  /** Whether the receiver does not take the bodies that it is sent. */
  readonly isReadingSlowly: (key: string) => boolean
  readonly countUploadBytes: () => UploadBytes
  /** Closes idle connections to receivers whose key is not in the set. */
  readonly retain: (live: ReadonlySet<string>) => void
  readonly close: () => void
}

type Connection = ReadState & {
  readonly client: Client
  readonly remote: string
  readonly overhead: OverheadMeter
  /** Set once the connection is open. */
  gate: ReadGate | undefined
  socket: Socket | undefined
  lastUsedAt: number
  isBusy: boolean
  isClosed: boolean
  isReset: boolean
  /** Called before bytes are parsed that have arrived; any are stray while no request was written. */
  onBytes: () => void
  /** Called when a listener threw in an event of the socket: the state of the parser is unknown. */
  onThrown: (error: Error) => void
}

/** Maximum number of idle connections per receiver, kept open for its next burst of requests. */
const MAXIMUM_IDLE_CONNECTIONS = 32
/** Maximum idle time of a reused connection. The receiver may have closed an older one while its FIN is still in transit, and a request that can't be retried would be lost. */
const MAXIMUM_REUSE_IDLE_MS = 1_500
const MAXIMUM_IDLE_MS = 60_000
/** An idle connection is closed this long before the end of the receiver's stated keep-alive timeout. */
const IDLE_MARGIN_MS = 1_000
/** Names and values of one head, or of the trailers; the default of Node.js. */
const MAXIMUM_HEAD_BYTES = 16 * 1024

const countParsedBytes = (socket: Socket | undefined): number => socket === undefined ? 0 : socket.bytesRead - socket.readableLength

const toError = (thrown: unknown): Error => thrown instanceof Error ? thrown : new Error(String(thrown))

/**
 * Creates the client.
 *
 * @param options - Clock, decoder of answers, and the connect timeout in milliseconds.
 * @returns The client; connections are opened as needed.
 *
 * @example
 * const client = createExchangeHttp({ clock, decodeAnswer, connectTimeoutMs: 200 })
 * client.send(request, listener).abort()
 */
export const createExchangeHttp = ({ clock, decodeAnswer, connectTimeoutMs, uploadListener, reportError }: ExchangeHttpOptions): ExchangeHttp => {
  const uploads = uploadListener === undefined ? undefined : createUploads(clock, uploadListener)
  const pools = new Map<string, Set<Connection>>()
  const connector = createConnector(clock, connectTimeoutMs)

  const drop = (pool: Set<Connection>, connection: Connection): void => {
    if (connection.isClosed) return
    connection.isClosed = true
    pool.delete(connection)
    // The bytes of a request that is given up may be held on their way. After an orderly close they still arrive.
    if (connection.isBusy) connection.socket?.resetAndDestroy()
    connection.client.destroy().catch(() => { /* its requests have been notified already */ })
  }

  const contain = (connection: Connection, event: string, error: unknown): void => {
    const subject = { adapter: 'exchangeHttp', remote: connection.remote }
    reportError?.(subject, event, error)
    try {
      connection.onThrown(toError(error))
    } catch (thrown) {
      reportError?.(subject, 'failure', thrown)
    }
  }

  const open = (pool: Set<Connection>, { host, port }: PeerAddress): Connection => {
    const client = new Client(`http://${host}:${port}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAXIMUM_HEAD_BYTES,
      keepAliveTimeout: MAXIMUM_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      connect: (target, callback) => connector(target, (...result) => {
        const socket = connection.socket = result[1] ?? undefined
        connection.gate = socket === undefined ? undefined : createReadGate(socket)
        // undici takes a reset for the end of an answer without a length, and the event
        // loop reports a reset right after some bytes as an orderly end. A partial answer
        // would pass for a complete one. A socket that was reset has no remote address any
        // more, one that was closed in order still has. These listeners run before undici's.
        socket?.on('error', () => { connection.isReset = true })
        // Before undici's listener as well: stray bytes must not be parsed, not even blank ones, which the parser skips.
        socket?.on('readable', () => { if (socket.readableLength > 0) connection.onBytes() })
        // A server that ends the connection without having taken the request resets it next.
        socket?.on('end', () => { connection.isReset ||= socket.remoteAddress === undefined || socket.writableLength > 0 })
        if (socket === undefined) return callback(...result)
        awaitShortTurn(clock, connection, () => {
          if (socket.destroyed || socket.readableEnded) callback(new Error('the connection ended before the request was written'), null)
          else callback(null, socket)
        }, (error) => contain(connection, 'connect', error))
      }, (error, event) => contain(connection, event, error))
    })
    const connection: Connection = { client, remote: `${host}:${port}`, overhead: createOverheadMeter(), gate: undefined, socket: undefined, lastUsedAt: clock.now(), readSince: clock.now(), isBusy: false, isClosed: false, isReset: false, onBytes: () => drop(pool, connection), onThrown: () => drop(pool, connection) }
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
    connection.onBytes = () => drop(pool, connection)
    connection.onThrown = () => drop(pool, connection)
    connection.lastUsedAt = clock.now()
    let idle = 0
    for (const other of pool) if (!other.isBusy) idle += 1
    if (idle > MAXIMUM_IDLE_CONNECTIONS) drop(pool, connection)
  }

  const getPool = (key: string): Set<Connection> => {
    const known = pools.get(key)
    if (known !== undefined) return known
    const created = new Set<Connection>()
    pools.set(key, created)
    return created
  }

  const send = (request: OutgoingRequest, listener: ExchangeListener): Exchange => {
    const pool = getPool(request.key)
    const idle = selectIdle(pool)
    const connection = idle ?? open(pool, request.address)
    connection.isBusy = true
    let isSent = false
    let isWithdrawn = false
    let isFinished = false
    let endUpload = (): void => { /* nothing was written */ }
    /** Once the answer is complete, the connection belongs to the next request. */
    let ownsConnection = true
    const flow = createAnswerFlow(listener, () => ownsConnection ? connection.gate : undefined, (error) => onDeliveryThrown(error))

    const fail = (error: NodeJS.ErrnoException): void => {
      endUpload()
      if (isFinished) return
      isFinished = true
      flow.stop()
      drop(pool, connection)
      const message = `${error.code ?? error.name}: ${error.message}`
      if (isWithdrawn) return listener.onFailure({ kind: 'withdrawn', message })
      // Only `isSent` proves whether the request was sent. The error codes of a failed
      // connect also occur after the request was sent, when the route to the receiver is lost.
      listener.onFailure(isSent ? { kind: 'broken', message } : { kind: 'notSent', message })
    }

    /** A complete answer has given its connection back, which may carry another request. */
    const onDeliveryThrown = (error: unknown): void => {
      if (ownsConnection) return contain(connection, 'delivery', error)
      reportError?.({ adapter: 'exchangeHttp', remote: connection.remote }, 'delivery', error)
      listener.onFailure({ kind: 'broken', message: toError(error).message })
    }

    connection.onThrown = (error) => {
      drop(pool, connection)
      fail(error)
    }
    connection.onBytes = () => {
      if (!isSent) fail(new Error('bytes arrived before the request was written'))
      else if (connection.overhead.exceeds(countParsedBytes(connection.socket))) fail(new Error('too many bytes of the answer are no body'))
    }

    const handler: Dispatcher.DispatchHandler = {
      onConnect: (abort) => {
        if (!listener.maySend(clock.now() - connection.readSince)) {
          isWithdrawn = true
          return abort(new Error('the receiver may not get the request any more'))
        }
        isSent = true
        connection.overhead.begin(countParsedBytes(connection.socket))
        if (uploads !== undefined && connection.socket !== undefined && request.body.length > 0) endUpload = uploads.begin(request.key, connection.socket, request.body.length)
        listener.onSent()
      },
      // The parser is never paused: one that is paused when its connection ends throws.
      onHeaders: (status, rawHeaders) => {
        const statusClass = classifyStatus(status)
        if (statusClass === 'informational') return true
        endUpload()
        if (statusClass === 'invalid') fail(new Error(`status ${status} is none of HTTP`))
        if (!isFinished) listener.onHead(decodeAnswer(status, listHeaders(rawHeaders)))
        return true
      },
      onData: (chunk) => {
        connection.overhead.recordBody(chunk.length)
        if (!isFinished) flow.push(chunk)
        return true
      },
      onComplete: () => {
        if (isFinished) return
        if (connection.isReset) return fail(new Error('the connection was reset in the middle of the answer'))
        isFinished = true
        connection.gate?.open()
        ownsConnection = false
        release(pool, connection)
        flow.end()
      },
      onError: fail
    }
    const options: Dispatcher.DispatchOptions & { readonly servername: string } = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.target,
      headers: request.headers as string[],
      body: request.body.length > 0 ? request.body : null,
      // Not used without TLS. Without it undici derives a name from the host of each request, which compiles a regular expression for IPv6 addresses at the first request.
      servername: request.address.host
    }
    const dispatch = (): void => {
      try {
        if (!isFinished) connection.client.dispatch(options, handler)
      } catch (error) {
        contain(connection, 'dispatch', error)
      }
    }
    // undici waits for the next check phase, which may come before sockets are read again. With one more, bytes and ends that have arrived on an idle connection are seen before the request is written.
    setImmediate(() => {
      connection.readSince = clock.now()
      if (idle !== undefined) dispatch()
    })
    if (idle === undefined) dispatch()

    return {
      abort: () => {
        isFinished = true
        flow.stop()
        endUpload()
        if (ownsConnection || !connection.isBusy) drop(pool, connection)
      },
      countPausedBytes: () => flow.countBytes() + (ownsConnection ? connection.socket?.readableLength ?? 0 : 0),
      pause: flow.pause,
      resume: flow.resume
    }
  }

  return {
    send,
    isReadingSlowly: (key) => uploads?.isReadingSlowly(key) ?? false,
    countUploadBytes: () => uploads?.countBytes() ?? { unsent: 0, unanswered: 0 },
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
