/**
 * HTTP listener for callers. It limits the size and duration of requests,
 * passes each request to dispatch, and writes the final answer.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import { createRefusal } from '../../decisions/createRefusal/index.js'
import type { CallerAnswer, Clock, Dispatch, Logger, PeerAddress, RandomSource } from '../../types/index.js'
import { createBodyBudget } from './_lib/createBodyBudget.js'
import { createServedConnections, type ServedConnections } from './_lib/createServedConnections.js'
import { readCallerRequest } from './_lib/readCallerRequest.js'
import { refuseBytes } from './_lib/refuseBytes.js'
import { writeAnswer } from './_lib/writeAnswer.js'

export type CallerHttpDependencies = {
  readonly dispatch: Dispatch
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
}

export type CallerHttpOptions = {
  readonly host: string
  /** 0 takes any free port. */
  readonly port: number
  readonly maximumBodyBytes: number
  /** Bytes of all headers together; 32,768 by default. */
  readonly maximumHeaderBytes?: number
  /** Time for a caller to send all headers, in milliseconds; 10,000 by default. */
  readonly headerTimeoutMs?: number
  /** Time for a caller to send the complete request, in milliseconds; 60,000 by default. */
  readonly requestTimeoutMs?: number
  /** Maximum wait for a caller that does not read its answer, in milliseconds; 30,000 by default. */
  readonly writeTimeoutMs?: number
  /** How long an idle connection stays open, in milliseconds; 75,000 by default, longer than a load balancer keeps one. */
  readonly idleTimeoutMs?: number
  /** Bytes of the bodies of all open requests together; 268,435,456 by default. */
  readonly maximumBufferedBytes?: number
  /** Open connections; 10,000 by default. */
  readonly maximumConnections?: number
}

export type CallerHttp = {
  readonly listen: () => Promise<PeerAddress>
  /** The address it listens on; `undefined` before `listen`. */
  readonly address: () => PeerAddress | undefined
  /** Sets what `/readyz` reports to a load balancer. The listener serves requests either way. */
  readonly setReady: (isReady: boolean) => void
  /** Fails `/readyz` for good; from now on answers carry `Connection: close`, and all requests are still served. */
  readonly beginClosing: () => void
  /** Stops accepting connections, waits for requests in flight, then closes. */
  readonly close: () => Promise<void>
}

export const LIVE_PATH = '/healthz'
export const READY_PATH = '/readyz'

const DEFAULTS = {
  maximumHeaderBytes: 32_768,
  headerTimeoutMs: 10_000,
  requestTimeoutMs: 60_000,
  writeTimeoutMs: 30_000,
  idleTimeoutMs: 75_000,
  maximumBufferedBytes: 268_435_456,
  maximumConnections: 10_000
}

const CHECKS_PER_TIMEOUT = 4
const BODY_TOO_LARGE = 'FST_ERR_CTP_BODY_TOO_LARGE'
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set(['GET', 'HEAD'])

const BODY_BUDGET_RETRY_MS = 1_000

const refuse = (reason: 'badRequest' | 'bodyTooLarge', message: string): CallerAnswer =>
  ({ kind: 'refused', refusal: createRefusal('not-run', reason, message) })

/** Returns the bytes that a request reserves in the body budget: the maximum when the length of its body is unknown. */
const computeReservedBytes = ({ headers }: IncomingMessage, maximumBytes: number): number =>
  headers['transfer-encoding'] === undefined ? Math.min(Number(headers['content-length'] ?? 0), maximumBytes) : maximumBytes

const declaresBody = (message: IncomingMessage): boolean =>
  message.headers['transfer-encoding'] !== undefined || Number(message.headers['content-length'] ?? 0) > 0

/** Returns a signal that aborts when the connection ends before the answer was written completely. The end of what the caller sends is read some turns of the event loop before its connection is closed. */
const watchDisconnect = (response: ServerResponse): AbortSignal => {
  const controller = new AbortController()
  const { socket } = response.req
  const abort = (): void => controller.abort(new Error('the caller hung up'))
  const abortUnanswered = (): void => { if (!response.writableEnded) abort() }
  socket.once('end', abortUnanswered)
  response.once('close', () => {
    socket.off('end', abortUnanswered)
    if (!response.writableFinished) abort()
  })
  return controller.signal
}

type MalformedHandler = (error: { readonly code?: string, readonly message: string }, request: FastifyRequest, reply: FastifyReply) => Promise<void>

const createServer = (options: CallerHttpOptions & typeof DEFAULTS, refuseMalformed: MalformedHandler, served: ServedConnections): FastifyInstance => {
  const server = fastify({
    clientErrorHandler: (error, socket) => refuseBytes(socket, error, served.isServing(socket)),
    frameworkErrors: async (error, request, reply) => { await refuseMalformed(error, request as FastifyRequest, reply as FastifyReply) },
    bodyLimit: options.maximumBodyBytes,
    requestTimeout: options.requestTimeoutMs,
    keepAliveTimeout: options.idleTimeoutMs,
    http: {
      maxHeaderSize: options.maximumHeaderBytes,
      headersTimeout: options.headerTimeoutMs,
      // Interval at which Node.js checks connections for exceeded timeouts. With its default
      // of 30 s, slow callers would occupy connections for that long, whatever the timeouts.
      connectionsCheckingInterval: Math.ceil(Math.min(options.headerTimeoutMs, options.requestTimeoutMs) / CHECKS_PER_TIMEOUT),
      insecureHTTPParser: false
    },
    exposeHeadRoutes: false,
    forceCloseConnections: 'idle',
    return503OnClosing: false,
    logger: false
  })
  server.server.prependListener('request', served.begin)
  server.server.maxConnections = options.maximumConnections
  server.removeAllContentTypeParsers()
  server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body))
  server.setErrorHandler(refuseMalformed)
  return server
}

/**
 * Creates the HTTP listener for callers.
 *
 * Every path but `/healthz` and `/readyz` is passed to dispatch unchanged. A
 * caller that disconnects aborts its request. A stream that fails ends with an
 * error event and a destroyed socket, so that it doesn't look complete.
 *
 * @param dependencies - Dispatch, clock, random source and logger.
 * @param options - Address, sizes in bytes and times in milliseconds.
 * @returns The listener; it serves after `listen`.
 *
 * @example
 * const callerHttp = createCallerHttp({ dispatch, clock, random, logger }, { host: '127.0.0.1', port: 0, maximumBodyBytes: 1_000_000 })
 * const { port } = await callerHttp.listen()
 */
export const createCallerHttp = (dependencies: CallerHttpDependencies, options: CallerHttpOptions): CallerHttp => {
  const settings = { ...DEFAULTS, ...options }
  const { dispatch, clock, random, logger } = dependencies
  const served = createServedConnections()
  const budget = createBodyBudget(settings.maximumBufferedBytes)
  let isReady = false
  let isClosing = false
  let address: PeerAddress | undefined

  const write = async (reply: FastifyReply, requestId: string, answer: CallerAnswer): Promise<void> => {
    if (isClosing && !reply.raw.headersSent) reply.raw.setHeader('connection', 'close')
    try {
      await writeAnswer({ response: reply.raw, requestId, clock, writeTimeoutMs: settings.writeTimeoutMs }, answer)
    } catch (error) {
      // The answer has a header that can't be written. Without this the caller would wait forever.
      logger.error('an answer could not be written', { requestId, error: String(error) })
      reply.raw.destroy()
    }
  }

  const answerRequest = async (request: FastifyRequest, requestId: string, signal: AbortSignal): Promise<CallerAnswer> => {
    if (METHODS_WITHOUT_BODY.has(request.method) && declaresBody(request.raw)) return refuse('badRequest', `a ${request.method} request has no body`)
    try {
      return await dispatch.handle(readCallerRequest(request.raw, request.body, requestId), signal)
    } catch (error) {
      logger.error('dispatch broke an invariant', { requestId, error: String(error) })
      return { kind: 'refused', refusal: createRefusal('unknown', 'backendFailed', 'the router failed') }
    }
  }

  const serve = async (request: FastifyRequest, reply: FastifyReply): Promise<void> => {
    reply.hijack()
    const signal = watchDisconnect(reply.raw)
    const requestId = random.nextId()
    await write(reply, requestId, await answerRequest(request, requestId, signal))
  }

  const refuseMalformed: MalformedHandler = async (error, _request, reply) => {
    reply.hijack()
    reply.raw.setHeader('connection', 'close')
    const answer = error.code === BODY_TOO_LARGE ? refuse('bodyTooLarge', error.message) : refuse('badRequest', error.message)
    await write(reply, random.nextId(), answer)
  }

  const reserveBody = async (request: FastifyRequest, reply: FastifyReply): Promise<void> => {
    const bytes = computeReservedBytes(request.raw, settings.maximumBodyBytes)
    if (budget.reserve(bytes)) {
      reply.raw.once('close', () => budget.release(bytes))
      return
    }
    reply.hijack()
    reply.raw.setHeader('connection', 'close')
    await write(reply, random.nextId(), { kind: 'refused', refusal: createRefusal('not-run', 'queueFull', 'too much is being sent at once', BODY_BUDGET_RETRY_MS) })
  }

  const beginClosing = (): void => {
    isReady = false
    isClosing = true
  }

  const server = createServer(settings, refuseMalformed, served)
  server.addHook('onRequest', reserveBody)
  server.get(LIVE_PATH, async () => 'live\n')
  server.get(READY_PATH, async (_request, reply) => await reply.code(isReady ? 200 : 503).send(isReady ? 'ready\n' : 'not ready\n'))
  server.setNotFoundHandler(serve)

  return {
    listen: async () => {
      await server.listen({ host: settings.host, port: settings.port })
      const bound = server.server.address() as AddressInfo
      address = { host: bound.address, port: bound.port }
      return address
    },
    address: () => address,
    setReady: (ready) => { isReady = ready && !isClosing },
    beginClosing,
    close: async () => {
      beginClosing()
      await server.close()
    }
  }
}
