/**
 * HTTP listener for the callers of a gateway. It uses node:http directly: the
 * router of a framework decodes paths, and takes as long to start as the rest of
 * the daemon. It checks framing strictly, limits what a caller may send, and
 * writes exactly one answer per request; if an answer ends early, its connection
 * is closed.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { checkFraming } from './_lib/checkFraming.js'
import { createPauseWatch } from './_lib/createPauseWatch.js'
import { createSink } from './_lib/createSink.js'
import { readBody } from './_lib/readBody.js'
import { openEarlyListener } from '../earlyListener/index.js'
import type { EarlyListener } from '../earlyListener/index.js'
import type { Clock, Forwarding, GatewayDialect, GatewayLimits, HeaderList, Logger, PeerAddress, StartTimeline } from '../../types/index.js'

export type GatewayHttpOptions = {
  readonly host: string
  /** 0 lets the operating system choose. */
  readonly port: number
  /** Used instead of host and port when the listener is open already. */
  readonly earlyListener?: EarlyListener | undefined
  readonly clock: Clock
  readonly logger: Logger
  readonly dialect: Pick<GatewayDialect, 'decodeRequest'>
  readonly forwarding: Forwarding
  readonly timeline?: StartTimeline | undefined
  /** Returns the limits of the configuration in force; `undefined` before there is one. */
  readonly readLimits: () => GatewayLimits | undefined
}

export type GatewayHttp = {
  readonly listen: () => Promise<PeerAddress>
  /** From now on answers carry `Connection: close`; all requests are still served. */
  readonly beginClosing: () => void
  /** Closes connections without an open request. */
  readonly closeIdle: () => void
  readonly openConnections: () => number
  /** Monotonic time of the last new connection or request, in milliseconds. */
  readonly lastUsedAt: () => number
  readonly close: () => void
}

/** Limits until a configuration is known. */
const INITIAL_LIMITS: GatewayLimits = { maximumHeaderBytes: 16_384, maximumBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
/** Limit of the parser, above any configured limit; the configured one is checked once the head is read. */
const PARSER_HEADER_BYTES = 128 * 1024

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
  const sockets = new Set<Socket>()
  const busy = new Map<Socket, number>()
  /**
   * Connections with a request whose end is uncertain. What the parser takes for a next request may be
   * smuggled in its body, so it is ignored; the connection is read only until the refusal is sent.
   */
  const untrusted = new WeakSet<Socket>()
  const pauses = createPauseWatch(clock)
  let isClosing = false
  let lastUsedAt = clock.now()

  const limits = (): GatewayLimits => options.readLimits() ?? INITIAL_LIMITS

  const countBusy = (socket: Socket, difference: number): void => {
    const open = (busy.get(socket) ?? 0) + difference
    if (open <= 0) busy.delete(socket)
    else busy.set(socket, open)
  }

  const handle = (message: IncomingMessage, response: ServerResponse): void => {
    const receivedAt = clock.now()
    const { socket } = message
    // This side closed the connection while the request was in transit. It can't be answered any more, so it must not run.
    if (!socket.writable || untrusted.has(socket)) return
    lastUsedAt = receivedAt
    countBusy(socket, 1)
    options.timeline?.mark('firstRequest')
    response.on('close', () => {
      countBusy(socket, -1)
      if (response.writableFinished && response.statusCode < 300) options.timeline?.mark('firstServed')
    })
    if (isClosing) response.setHeader('Connection', 'close')
    const sink = createSink(response, { isClosing: () => isClosing, onUntrusted: () => { untrusted.add(socket) } })
    const headers = listHeaders(message.rawHeaders)
    const problem = checkFraming(message, headers, limits())
    if (problem !== undefined) {
      sink.refuse(problem)
      return
    }
    const decoded = dialect.decodeRequest({ method: message.method ?? '', target: message.url ?? '', headers, receivedAt })
    if (!decoded.ok) {
      sink.refuse(decoded.error)
      return
    }
    const run = forwarding.begin(decoded.value, sink)
    response.on('close', () => { if (!response.writableFinished) run.cancel() })
    readBody(message, limits().maximumBodyBytes, {
      onBody: (body) => pauses.whenSettled(() => run.submit(body)),
      onTooLarge: () => run.reject({ status: 413, reason: 'bodyTooLarge' }),
      onBroken: run.cancel
    })
  }

  const server = createServer({
    maxHeaderSize: PARSER_HEADER_BYTES,
    noDelay: true,
    keepAlive: true,
    requireHostHeader: true,
    insecureHTTPParser: false,
    connectionsCheckingInterval: 1_000
  }, handle)

  server.on('connection', (socket) => {
    lastUsedAt = clock.now()
    sockets.add(socket)
    socket.on('close', () => {
      sockets.delete(socket)
      busy.delete(socket)
    })
    applyLimits()
  })

  // For bytes that are not an HTTP request: the parser's state is lost, so the connection is closed after the answer.
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    logger.debug('connection with bytes that are no request', { code: error.code, message: error.message })
    if (!socket.writable || busy.has(socket as Socket)) return socket.destroy()
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
  })

  const applyLimits = (): void => {
    const { headerTimeoutMs, idleTimeoutMs } = limits()
    server.headersTimeout = headerTimeoutMs
    server.requestTimeout = 0
    server.keepAliveTimeout = idleTimeoutMs
  }

  return {
    listen: async () => {
      applyLimits()
      const listener = options.earlyListener ?? openEarlyListener(options)
      const address = await listener.opened
      listener.handOver(server)
      return address
    },
    beginClosing: () => { isClosing = true },
    closeIdle: () => { for (const socket of sockets) if (!busy.has(socket)) socket.end() },
    openConnections: () => sockets.size,
    lastUsedAt: () => lastUsedAt,
    close: () => {
      pauses.stop()
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
