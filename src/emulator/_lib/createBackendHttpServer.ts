/** Common part of both kinds of emulated backend server: control routes, load report and connection faults. */
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import type { Clock, LoadReport, RequestPriority } from '../../types/index.js'
import type { Journal } from '../createJournal/index.js'
import { isRefusingConnections, type BackendFaults } from './backendFaults.js'
import { listen, type EmulatedServer, type ListenAddress } from './listen.js'
import { createControlServer, registerControlRoutes } from './registerControlRoutes.js'

export type BackendHttpServer = {
  readonly server: FastifyInstance
  readonly listen: (address: ListenAddress) => Promise<EmulatedServer>
}

export type BackendHttpServerOptions = {
  readonly clock: Clock
  readonly faults: BackendFaults
  readonly journal: Journal
  readonly report: () => LoadReport
}

/** Fields of a request that a router sends in headers. */
export type RequestHeaders = {
  readonly requestId: string
  readonly idempotencyKey: string | undefined
  readonly clientAccount: string
  readonly priority: RequestPriority
}

const BODY_LIMIT = 10_000_000

/**
 * Creates a server that has the common routes only.
 *
 * @param options - Clock, faults, journal and load report.
 * @returns The server to add routes to, and a function that starts it.
 *
 * @example
 * const backend = createBackendHttpServer({ clock, faults, journal, report })
 */
export const createBackendHttpServer = ({ clock, faults, journal, report }: BackendHttpServerOptions): BackendHttpServer => {
  const server = fastify({ bodyLimit: BODY_LIMIT, forceCloseConnections: true, routerOptions: { maxParamLength: 1000 } })
  const control = { faults, pages: { '/journal': () => ({ entries: journal.entries() }) } }
  registerControlRoutes(server, control)

  server.server.on('connection', (socket) => {
    if (!isRefusingConnections(faults, clock)) return
    faults.take('refuseConnections')
    socket.resetAndDestroy()
  })
  // Requests on an idle keep-alive connection would still reach a server that is
  // meant to be unreachable.
  faults.onChange(() => {
    if (isRefusingConnections(faults, clock)) server.server.closeIdleConnections()
  })
  server.addHook('onRequest', async (request, reply) => {
    if (!isRefusingConnections(faults, clock)) return
    dropConnection(request, reply)
  })

  server.get('/load', async (_request, reply) => {
    if (faults.take('unresponsiveLoad') !== undefined) return reply.hijack()
    const figures = report()
    return { ...figures, leaving: figures.leaving || faults.peek('leaving') !== undefined }
  })

  return { server, listen: (address) => listen(server, createControlServer(control), address) }
}

/**
 * Reads the headers in which a router describes a request.
 *
 * @param request - The request.
 * @returns The fields, with defaults for a caller that is not a router.
 *
 * @example
 * const { requestId } = readRequestHeaders(request)
 */
export const readRequestHeaders = (request: FastifyRequest): RequestHeaders => {
  const read = (name: string): string | undefined => {
    const value = request.headers[name]
    return Array.isArray(value) ? value[0] : value
  }
  return {
    requestId: read('x-request-id') ?? `unnamed-${request.id}`,
    idempotencyKey: read('idempotency-key'),
    clientAccount: read('x-client-account') ?? '',
    priority: read('x-priority') === 'overnight' ? 'overnight' : 'interactive'
  }
}

/**
 * Sends the refusal with `x-not-run`, which is the only proof that a request was not run.
 *
 * @param reply - Reply to send.
 * @param requestId - Returned in `x-request-id`.
 * @param reason - Reason of the refusal.
 * @returns The reply.
 *
 * @example
 * return sendNotRunRefusal(reply, requestId, 'leaving')
 */
export const sendNotRunRefusal = (reply: FastifyReply, requestId: string, reason: string): FastifyReply =>
  reply.code(503).headers({ 'x-not-run': reason, 'x-request-id': requestId }).send({ error: { message: `not run: ${reason}`, code: reason } })

/**
 * Resets the connection of a request without an answer.
 *
 * @param request - The request.
 * @param reply - Its reply, which is hijacked so that Fastify does not send it.
 *
 * @example
 * dropConnection(request, reply)
 */
export const dropConnection = (request: FastifyRequest, reply: FastifyReply): void => {
  reply.hijack()
  request.raw.socket.resetAndDestroy()
}
