/**
 * Sends requests to backend servers over pooled HTTP/1.1 connections. Nothing is
 * retried here: each failure is reported with exactly what is known about it, and
 * `planRetry` decides.
 */
import { Agent } from 'undici'
import { z } from 'zod'
import { afterTurn } from '../afterTurn/index.js'
import { failure } from '../../kernel/failure/index.js'
import { success } from '../../kernel/success/index.js'
import type { BackendAnswer, BackendClient, BackendError, BackendRequest, LoadReport, Result } from '../../types/index.js'
import { createExchange } from './_lib/createExchange.js'

export type BackendHttpOptions = {
  readonly connectTimeoutMs: number
  /** Maximum time without data in the middle of an answer, in milliseconds. */
  readonly answerIdleTimeoutMs: number
  /** Maximum number of connections to one origin; further requests wait for a free one. 1,024 by default. */
  readonly maximumConnections?: number
}

const DEFAULT_MAXIMUM_CONNECTIONS = 1_024
/** Short, so that few requests are sent on a connection that the server has just closed. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000
const MAXIMUM_HEADER_BYTES = 32_768
const MAXIMUM_LOAD_REPORT_BYTES = 65_536

const loadReport = z.object({
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  slots: z.number().nonnegative(),
  leaving: z.boolean(),
  ageMs: z.number().nonnegative()
})

const parseLoadReport = (text: string): LoadReport | undefined => {
  try {
    const parsed = loadReport.safeParse(JSON.parse(text))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

const readText = async (answer: BackendAnswer, maximumBytes: number): Promise<string | undefined> => {
  const chunks: Uint8Array[] = []
  let size = 0
  for await (const part of answer.body) {
    if (part.kind === 'cut') return undefined
    if (part.kind === 'end') break
    size += part.bytes.length
    if (size > maximumBytes) return undefined
    chunks.push(part.bytes)
  }
  return Buffer.concat(chunks).toString('utf8')
}

/**
 * Creates the client for backend servers.
 *
 * Each origin has its own pool, dropped with its last connection. A connection
 * carries one request at a time, so an answer can't be matched with an earlier
 * request; the caller of `send` also checks the request id that the backend
 * server echoes.
 *
 * @param options - Timeouts in milliseconds and the maximum number of connections.
 * @returns A `BackendClient`; `close` drops its connections.
 *
 * @example
 * const client = createBackendHttp({ connectTimeoutMs: 1_000, answerIdleTimeoutMs: 30_000 })
 * const result = await client.send(request, AbortSignal.timeout(5_000))
 */
export const createBackendHttp = (options: BackendHttpOptions): BackendClient => {
  const agent = new Agent({
    connections: options.maximumConnections ?? DEFAULT_MAXIMUM_CONNECTIONS,
    pipelining: 1,
    connect: { timeout: options.connectTimeoutMs },
    bodyTimeout: options.answerIdleTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
    maxHeaderSize: MAXIMUM_HEADER_BYTES
  })

  const dispatch = (request: BackendRequest, signal: AbortSignal): Promise<Result<BackendAnswer, BackendError>> => {
    const onAbort = (): void => exchange.abort(new Error('the request was aborted'))
    const exchange = createExchange(request.method, () => signal.removeEventListener('abort', onAbort))
    signal.addEventListener('abort', onAbort, { once: true })
    agent.dispatch({
      origin: new URL(request.url).origin,
      path: request.path,
      method: request.method as 'GET',
      headers: { ...request.headers },
      body: request.body.length === 0 ? null : request.body,
      headersTimeout: Math.max(1, Math.ceil(request.timeoutMs))
    }, exchange.handler)
    return exchange.answer
  }

  const send: BackendClient['send'] = async (request, signal) => {
    // The close of a caller that has left may lie behind its request, and is read a turn of the event loop later.
    await new Promise<void>(afterTurn)
    if (signal.aborted) return failure({ kind: 'notSent', message: 'aborted before it was sent' })
    try {
      return await dispatch(request, signal)
    } catch (error) {
      // undici throws only while it checks its arguments, before it queues the request.
      return failure({ kind: 'notSent', message: String(error) })
    }
  }

  const readLoad: BackendClient['readLoad'] = async (url, timeoutMs) => {
    const request = { requestId: 'load', url, method: 'GET', path: '/load', headers: {}, body: new Uint8Array(), timeoutMs }
    const result = await send(request, AbortSignal.timeout(timeoutMs))
    // Cancelled by the timeout above, not by a caller: for the reader of the load, the server did not answer.
    if (!result.ok) return result.error.kind === 'cancelled' ? failure({ kind: 'noAnswer', message: 'no load report was received before the timeout' }) : result
    const text = await readText(result.value, MAXIMUM_LOAD_REPORT_BYTES)
    const report = result.value.status === 200 && text !== undefined ? parseLoadReport(text) : undefined
    return report === undefined ? failure({ kind: 'noAnswer', message: 'the answer to GET /load is not a valid load report' }) : success(report)
  }

  return {
    send,
    readLoad,
    close: async () => { await agent.destroy() }
  }
}
