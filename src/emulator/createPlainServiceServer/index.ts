/** Emulated backend server of a plain service: records orders and looks up stock. */
import type { FastifyReply, FastifyRequest } from 'fastify'
import { hashText } from '../../hashing/index.js'
import type { Clock } from '../../types/index.js'
import { createAnswerWriter, writeCompleteAnswer } from '../_lib/createAnswerWriter.js'
import { createBackendFaults, type BackendFaults } from '../_lib/backendFaults.js'
import { createBackendHttpServer, readRequestHeaders, sendNotRunRefusal } from '../_lib/createBackendHttpServer.js'
import type { EmulatedServer, ListenAddress } from '../_lib/listen.js'
import { createJournal, type Journal } from '../createJournal/index.js'
import { createLaggingLoad } from '../createLaggingLoad/index.js'

export type PlainServiceServerOptions = ListenAddress & {
  readonly clock: Clock
  /** Time to answer a request, in milliseconds; 5 by default. */
  readonly delayMs?: number | undefined
  /** Maximum number of concurrent requests; further ones are refused as overloaded; 256 by default. */
  readonly slots?: number | undefined
  /** How far the load report lags behind the load, in milliseconds; 250 by default. */
  readonly loadLagMs?: number | undefined
}

export type PlainServiceServer = EmulatedServer & {
  readonly faults: BackendFaults
  readonly journal: Journal
}

type ServiceAnswer = { readonly status: number, readonly body: unknown }

const DEFAULT_DELAY_MS = 5
const DEFAULT_SLOTS = 256
const DEFAULT_LOAD_LAG_MS = 250
const STOCK_UPPER_BOUND = 500

/**
 * Returns the answer to a stock lookup, which depends on the path alone.
 *
 * @param path - Path with query.
 * @returns The body of the answer.
 *
 * @example
 * lookUpStock('/stock/ravioli') // => { path: '/stock/ravioli', quantity: ... }
 */
export const lookUpStock = (path: string): { readonly path: string, readonly quantity: number } =>
  ({ path, quantity: hashText(path) % STOCK_UPPER_BOUND })

/**
 * Starts an emulated backend server of a plain service.
 *
 * `GET` on any path is a lookup. `POST` and `PUT` on any path record an order
 * each time they run, whatever their idempotency key, so a request that ran
 * twice has two entries in the journal. The answer to an order contains the body
 * that was received.
 *
 * @param options - Clock, address, delay and slots.
 * @returns The listening server, its journal and its faults.
 *
 * @example
 * const server = await createPlainServiceServer({ clock: createSystemClock(), delayMs: 20 })
 */
export const createPlainServiceServer = async (options: PlainServiceServerOptions): Promise<PlainServiceServer> => {
  const { clock, delayMs = DEFAULT_DELAY_MS, slots = DEFAULT_SLOTS } = options
  const faults = createBackendFaults()
  const journal = createJournal(clock)
  const load = createLaggingLoad(clock, options.loadLagMs ?? DEFAULT_LOAD_LAG_MS)
  const backend = createBackendHttpServer({ clock, faults, journal, report: () => ({ ...load.read(), slots, leaving: false }) })
  let running = 0
  let orders = 0

  const changeRunning = (by: number): void => {
    running += by
    load.record({ running, waiting: 0 })
  }

  const runRequest = (request: FastifyRequest, requestId: string): ServiceAnswer => {
    if (request.method === 'GET') return { status: 200, body: lookUpStock(request.url) }
    orders += 1
    return { status: 201, body: { order: orders, requestId, path: request.url, received: request.body ?? null } }
  }

  const answerAfterDelay = (request: FastifyRequest, reply: FastifyReply): void => {
    const { requestId, idempotencyKey, clientAccount } = readRequestHeaders(request)
    const record = journal.add({ requestId, idempotencyKey, clientAccount, path: request.url, outcome: 'running' })
    const isReset = faults.take('resetAfterRead') !== undefined
    const answeredRequestId = faults.take('crossedAnswer') === undefined ? requestId : `${requestId}-crossed`
    const writer = createAnswerWriter(reply.raw, faults, clock)
    changeRunning(1)
    reply.hijack()
    clock.setTimer(delayMs, () => {
      changeRunning(-1)
      const { status, body } = runRequest(request, answeredRequestId)
      record.setOutcome('complete')
      if (isReset) request.raw.socket.resetAndDestroy()
      else writeCompleteAnswer(writer, status, { 'content-type': 'application/json', 'x-request-id': answeredRequestId }, JSON.stringify(body))
    })
  }

  backend.server.removeAllContentTypeParsers()
  backend.server.addContentTypeParser('*', { parseAs: 'string' }, (request, body, done) => done(null, parseBody(request, String(body))))
  backend.server.route({
    method: ['GET', 'POST', 'PUT'],
    url: '/*',
    handler: async (request, reply) => {
      const { requestId } = readRequestHeaders(request)
      if (faults.peek('leaving') !== undefined) return sendNotRunRefusal(reply, requestId, 'leaving')
      if (running >= slots || faults.take('overloaded') !== undefined) return sendNotRunRefusal(reply, requestId, 'overloaded')
      answerAfterDelay(request, reply)
    }
  })

  return { ...await backend.listen(options), faults, journal }
}

// The body of an order is recorded unparsed; only the control route reads JSON.
const parseBody = (request: FastifyRequest, body: string): unknown => {
  if (request.url !== '/faults') return body
  try {
    return JSON.parse(body)
  } catch {
    return undefined
  }
}
