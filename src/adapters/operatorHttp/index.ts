/**
 * HTTP listener for operators: health, readiness and metrics without
 * authentication, the status with the operator token.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import type { NodeStatus } from '../../types/index.js'

export type OperatorHttpOptions = {
  readonly host: string
  /** 0 lets the operating system choose. */
  readonly port: number
  readonly operatorToken: string
  readonly readStatus: () => NodeStatus
  readonly renderMetrics: () => Promise<string>
  readonly metricsContentType: string
}

export type OperatorHttp = {
  /** Starts to listen and resolves with the origin. */
  readonly listen: () => Promise<string>
  readonly close: () => Promise<void>
}

const MAXIMUM_BODY_BYTES = 16_384
const REQUEST_TIMEOUT_MS = 10_000
const CHECKS_PER_TIMEOUT = 4

const digest = (text: string): Buffer => createHash('sha256').update(text).digest()

const isTokenGiven = (request: FastifyRequest, operatorToken: string): boolean => {
  const given = request.headers.authorization ?? ''
  return timingSafeEqual(digest(given), digest(`Bearer ${operatorToken}`))
}

const requireToken = (operatorToken: string) => async (request: FastifyRequest, reply: FastifyReply): Promise<unknown> => {
  if (isTokenGiven(request, operatorToken)) return undefined
  return reply.code(401).header('www-authenticate', 'Bearer').send({ error: { message: 'the operator token is missing or wrong' } })
}

const addRoutes = (server: FastifyInstance, options: OperatorHttpOptions): void => {
  server.get('/healthz', async () => ({ healthy: true }))
  server.get('/readyz', async (_request, reply) => {
    const { ready, generation } = options.readStatus()
    return reply.code(ready ? 200 : 503).send({ ready, generation })
  })
  server.get('/metrics', async (_request, reply) => reply.type(options.metricsContentType).send(await options.renderMetrics()))
  server.get('/status', { preHandler: requireToken(options.operatorToken) }, async () => options.readStatus())
}

/**
 * Creates the listener for operators.
 *
 * @param options - Address, token, and the functions that read the status and render the metrics.
 * @returns The listener, not yet listening.
 */
export const createOperatorHttp = (options: OperatorHttpOptions): OperatorHttp => {
  const server = fastify({
    bodyLimit: MAXIMUM_BODY_BYTES,
    requestTimeout: REQUEST_TIMEOUT_MS,
    // By default, Node.js checks connections for exceeded timeouts only every 30 s.
    http: { headersTimeout: REQUEST_TIMEOUT_MS, connectionsCheckingInterval: REQUEST_TIMEOUT_MS / CHECKS_PER_TIMEOUT },
    forceCloseConnections: true
  })
  addRoutes(server, options)
  return {
    listen: async () => {
      await server.listen({ host: options.host, port: options.port })
      const { port } = server.server.address() as AddressInfo
      return `http://${options.host}:${port}`
    },
    close: () => server.close()
  }
}
