/**
 * HTTP listener for the callers of a gateway. It uses node:http directly: the
 * router of a framework decodes paths, and takes as long to start as the rest of
 * the daemon. It checks framing strictly, limits what a caller may send, and
 * writes exactly one answer per request; if an answer ends early, its connection
 * is closed.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { checkFraming } from './_lib/checkFraming.js'
import { createConnections } from './_lib/createConnections.js'
import { createPipelines, type RequestEvents } from './_lib/createPipelines.js'
import { createResponseWriter } from './_lib/createResponseWriter.js'
import { readBody } from './_lib/readBody.js'
import { containEvents, createContainedErrorReporter } from '../containedEvents/index.js'
import { afterTurn } from '../afterTurn/index.js'
import { openHandoverListener } from '../handoverListener/index.js'
import { logServerErrors } from '../openListener/index.js'
import type { RelayHeaders } from '../relayHttp/index.js'
import type { HandoverListener } from '../handoverListener/index.js'
import type { ReadWatch } from '../readWatch/index.js'
import type { CallerSink, Clock, Forwarding, GatewayDialect, GatewayLimits, GatewayRefusal, GatewayRequest, HeaderList, HeldBytes, HeldEntry, Logger, Metrics, PeerAddress, StartTimeline } from '../../types/index.js'

export type GatewayHttpOptions = {
  readonly host: string
  /** 0 lets the operating system choose. */
  readonly port: number
  /** Used instead of host and port when the listener is open already. */
  readonly handoverListener?: HandoverListener | undefined
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics?: Pick<Metrics, 'count'>
  readonly dialect: Pick<GatewayDialect, 'decodeRequest'>
  readonly forwarding: Pick<Forwarding, 'begin'>
  readonly timeline?: StartTimeline | undefined
  /** Measures how late the node reads; its requests count as read at once when omitted. */
  readonly reads?: Pick<ReadWatch, 'delayMs'> | undefined
  /** Headers for answers, where the listener serves peers instead of callers. */
  readonly relayHeaders?: RelayHeaders | undefined
  /** Bounds what the node holds for callers; no bound when omitted. */
  readonly heldBytes?: Pick<HeldBytes, 'open' | 'hasRoomFor'> | undefined
  /** Returns the limits of the configuration in force; `undefined` before there is one. */
  readonly readLimits: () => GatewayLimits | undefined
}

export type GatewayHttp = {
  /** Resolves after the first try with the address it listens on, or will listen on once its port can be had. */
  readonly listen: () => Promise<PeerAddress>
  readonly isListening: () => boolean
  /** From now on answers carry `Connection: close`; all requests are still served. */
  readonly beginClosing: () => void
  /** Closes connections on which no request is open or may be on its way. */
  readonly closeIdle: () => void
  /** Whether a request is open on any connection, or may be on its way. */
  readonly awaitsRequests: () => boolean
  /** Refuses new connections from now on; those that wait to be accepted are accepted before. */
  readonly stopAccepting: () => Promise<void>
  readonly openConnections: () => number
  /** Monotonic time of the last new connection or request, in milliseconds. */
  readonly lastUsedAt: () => number
  readonly close: () => void
}

/** Limits until a configuration is known. */
const INITIAL_LIMITS: GatewayLimits = { maximumHeaderBytes: 16_384, maximumBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
/** Limit of the parser, above any configured limit; the configured one is checked once the head is read. */
const MAXIMUM_PARSED_HEADER_BYTES = 128 * 1024

/** Time for which a closing listener waits for a turn of the event loop that finds its queue empty, in milliseconds. */
const MAXIMUM_ACCEPT_WAIT_MS = 250
/** Duration of a turn in which hardly a caller has connected since the queue was read, in milliseconds. */
const MAXIMUM_EMPTY_TURN_MS = 0.1

/** Another node may have room; this one has again when some callers have read. */
const MEMORY_FULL: GatewayRefusal = { status: 503, reason: 'memoryFull', retryAfterMs: 250 }

type Arrival = Pick<GatewayRequest, 'receivedAt'> & { readonly unreadMs: number }

const listHeaders = (raw: readonly string[]): HeaderList => {
  const headers: [string, string][] = []
  for (let index = 0; index + 1 < raw.length; index += 2) headers.push([raw[index]!, raw[index + 1]!])
  return headers
}

/**
 * Creates the listener.
 *
 * @param options - Where to listen, the dialect, and the forwarding service.
 * @returns The listener, not yet open.
 *
 * @example
 * const gateway = createGatewayHttp({ host: '127.0.0.1', port: 0, ...rest })
 * await gateway.listen()
 */
export const createGatewayHttp = (options: GatewayHttpOptions): GatewayHttp => {
  const { clock, logger, dialect, forwarding } = options
  const part = options.relayHeaders === undefined ? 'callers' : 'relayedRequests'
  const connections = createConnections(clock)
  /**
   * Connections with a request whose end is uncertain. What the parser takes for a next request may be
   * smuggled in its body, so it is ignored; the connection is read only until the refusal is sent.
   */
  const untrusted = new WeakSet<Socket>()
  const pipelines = createPipelines()
  let listener: HandoverListener | undefined
  let isClosing = false
  let isClosed = false
  let lastUsedAt = clock.now()

  const reportError = createContainedErrorReporter(options)

  /** Ends the exchange of a request in whose events a listener threw; what it holds is given back when the answer closes. */
  const endExchange = (message: IncomingMessage, response: ServerResponse, event: string, error: unknown): void => {
    reportError({ adapter: 'gatewayHttp', remote: message.socket.remoteAddress, request: `${message.method} ${message.url}` }, event, error)
    response.destroy()
  }

  const readDelayMs = (): number => options.reads?.delayMs() ?? 0

  const limits = (): GatewayLimits => options.readLimits() ?? INITIAL_LIMITS

  const recordUnanswered = (message: IncomingMessage, receivedAt: number): void => {
    const decoded = dialect.decodeRequest({ method: message.method ?? '', target: message.url ?? '', headers: listHeaders(message.rawHeaders), receivedAt })
    const closed = connections.findClosed(message.socket)
    options.metrics?.count('gateway_requests_unanswered')
    logger.warn('request at a closed connection', {
      requestId: decoded.ok ? decoded.value.requestId : undefined,
      closedMs: closed === undefined ? undefined : Math.round(receivedAt - closed.at),
      wasUsed: closed?.wasUsed
    })
  }

  const handle = (message: IncomingMessage, response: ServerResponse): void => {
    containEvents(message, (error, event) => endExchange(message, response, event, error))
    containEvents(response, (error, event) => endExchange(message, response, event, error))
    contain(message, response, 'request', () => accept(message, response))
  }

  /** What throws ends the exchange. */
  const contain = (message: IncomingMessage, response: ServerResponse, step: string, run: () => void): void => {
    try {
      run()
    } catch (error) {
      endExchange(message, response, step, error)
    }
  }

  const accept = (message: IncomingMessage, response: ServerResponse): void => {
    const { socket } = message
    const receivedAt = clock.now()
    const unreadMs = connections.computeUnreadMs(socket, readDelayMs())
    if (untrusted.has(socket)) return
    // This side closed the connection while the request was in transit. It can't be answered any more, so it must not run.
    if (!socket.writable) return recordUnanswered(message, receivedAt)
    lastUsedAt = clock.now()
    connections.beginRequest(socket)
    if (pipelines.add(socket, response, (events) => contain(message, response, 'request', () => begin(message, response, { receivedAt, unreadMs }, events)))) return
    untrusted.add(socket)
    logger.warn('connection with too many requests closed', { remote: socket.remoteAddress })
    socket.destroy()
  }

  const begin = (message: IncomingMessage, response: ServerResponse, { receivedAt, unreadMs }: Arrival, { onEnd, onLeft }: RequestEvents): void => {
    const { socket } = message
    if (untrusted.has(socket)) return
    options.timeline?.mark('firstRequest')
    onEnd(() => {
      connections.endRequest(socket)
      if (response.writableFinished && response.statusCode < 300) options.timeline?.mark('firstServed')
    })
    if (isClosing) response.setHeader('Connection', 'close')
    const headers = listHeaders(message.rawHeaders)
    const createWriter = (held?: HeldEntry): CallerSink =>
      createResponseWriter(response, { isClosing: () => isClosing, onUntrusted: () => { untrusted.add(socket) }, relayHeaders: options.relayHeaders, held })
    const problem = checkFraming(message, headers, limits())
    if (problem !== undefined) {
      createWriter().refuse(problem)
      return
    }
    const decoded = dialect.decodeRequest({ method: message.method ?? '', target: message.url ?? '', headers, receivedAt })
    if (!decoded.ok) {
      createWriter().refuse(decoded.error)
      return
    }
    const held = options.heldBytes?.open({
      requestId: decoded.value.requestId,
      readUnreadBytes: () => response.writableLength,
      maximumUnreadMs: limits().idleTimeoutMs,
      end: () => { response.destroy() }
    })
    if (held !== undefined) response.on('drain', held.recordRead)
    const run = forwarding.begin(unreadMs > 0 ? { ...decoded.value, unreadMs } : decoded.value, createWriter(held))
    onLeft(() => { if (!response.writableEnded) run.cancel() })
    onEnd(() => {
      held?.close()
      if (!response.writableFinished) run.cancel()
    })
    if (options.heldBytes?.hasRoomFor(Number(message.headers['content-length'] ?? 0)) === false) {
      run.reject(MEMORY_FULL)
      return
    }
    const body = readBody(message, limits().maximumBodyBytes, {
      onBody: (bytes) => contain(message, response, 'submit', () => run.submit(bytes)),
      onTooLarge: () => run.reject({ status: 413, reason: 'bodyTooLarge' }),
      hasRoom: (bytes) => held?.recordBody(bytes) ?? true,
      onNoRoom: () => run.reject(MEMORY_FULL),
      onBroken: run.cancel
    })
    onEnd(body.drop)
  }

  const server = createServer({
    maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
    noDelay: true,
    keepAlive: true,
    requireHostHeader: true,
    insecureHTTPParser: false,
    connectionsCheckingInterval: 1_000
  }, handle)

  logServerErrors(server, part, logger)
  containEvents(server, (error, event, [first]) => {
    reportError({ adapter: 'gatewayHttp' }, event, error)
    if (first instanceof Socket) first.destroy()
  })

  server.on('connection', (socket) => {
    containEvents(socket, (error, event) => {
      reportError({ adapter: 'gatewayHttp', remote: socket.remoteAddress }, event, error)
      socket.destroy()
    })
    lastUsedAt = clock.now()
    connections.accept(socket, listener?.findHeldMs(socket) ?? readDelayMs())
    applyLimits()
  })

  // With a listener, node:http leaves a kept connection open after its idle timeout.
  server.on('timeout', connections.closeExpired)

  // For bytes that are not an HTTP request: the parser's state is lost, so the connection is closed after the answer.
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    logger.debug('connection with bytes that are no request', { code: error.code, message: error.message })
    if (!socket.writable || connections.hasOpenRequest(socket as Socket)) return socket.destroy()
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
  })

  /** The kernel resets the connections that wait in a listener's queue when it is closed. The queue is empty only right after a turn that accepted none and took no time. */
  const waitForEmptyQueue = async (): Promise<void> => {
    const endsAt = clock.now() + MAXIMUM_ACCEPT_WAIT_MS
    while (clock.now() < endsAt) {
      const accepted = connections.countAccepted()
      const begunAt = clock.now()
      await new Promise<void>((resolve) => { setImmediate(resolve) })
      if (accepted === connections.countAccepted() && clock.now() - begunAt < MAXIMUM_EMPTY_TURN_MS) return
    }
  }

  const applyLimits = (): void => {
    const { headerTimeoutMs, idleTimeoutMs } = limits()
    server.headersTimeout = headerTimeoutMs
    server.requestTimeout = 0
    server.keepAliveTimeout = idleTimeoutMs
  }

  return {
    listen: async () => {
      applyLimits()
      const opening = options.handoverListener ?? openHandoverListener(options, { part, logger })
      listener = opening
      opening.opened.then(() => { if (!isClosed) opening.handOver(server) }, () => {})
      return await opening.tried
    },
    isListening: () => server.listening,
    beginClosing: () => { isClosing = true },
    closeIdle: connections.closeIdle,
    awaitsRequests: connections.isAnyAwaited,
    stopAccepting: async () => {
      await new Promise<void>(afterTurn)
      await waitForEmptyQueue()
      listener?.stopAccepting()
    },
    openConnections: connections.count,
    lastUsedAt: () => lastUsedAt,
    close: () => {
      isClosed = true
      listener?.stopAccepting()
      server.close()
      connections.destroyAll()
    }
  }
}
