/**
 * Sends one HTTP request at most once, and reports whether any byte of it may
 * have reached the other side.
 */
import type { Dispatcher, Pool } from 'undici'
import { hasVerifiableEnd } from '../../hasVerifiableEnd/index.js'
import { failure, success } from '../../../kernel/index.js'
import type { Result } from '../../../types/index.js'

export type Exchange = {
  readonly method: 'GET' | 'PUT' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Uint8Array
  readonly timeoutMs: number
}

export type Reply = {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

export type ExchangeError = {
  /** `notSent` when no byte was written; `noReply` when the request was sent, at least in part. */
  readonly kind: 'notSent' | 'noReply'
  readonly message: string
}

const MAXIMUM_REPLY_BYTES = 16_000_000

/**
 * Sends a request and collects its reply.
 *
 * undici calls `onRequestStart` right before it writes a request to a
 * connected socket, and writes nothing when that call aborts. A failure before
 * it therefore proves that the other side received nothing. A timeout before it
 * marks the exchange as finished, so that it is not sent afterwards.
 *
 * @param pool - Connections to the origin; must not retry by itself.
 * @param exchange - The request; `timeoutMs` includes the wait for a connection.
 * @returns The reply, or whether the request was sent before it failed.
 *
 * @example
 * await sendOnce(pool, { method: 'GET', path: '/vms', timeoutMs: 1000 })
 */
export const sendOnce = (pool: Pool, exchange: Exchange): Promise<Result<Reply, ExchangeError>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = []
    let size = 0
    let started: Dispatcher.DispatchController | undefined
    let isFinished = false
    let status = 0
    let headers: Reply['headers'] = {}

    const finish = (result: Result<Reply, ExchangeError>): void => {
      if (isFinished) return
      isFinished = true
      clearTimeout(timer)
      resolve(result)
    }
    const fail = (message: string): void => finish(failure({ kind: started === undefined ? 'notSent' : 'noReply', message }))
    const failAndAbort = (message: string): void => {
      fail(message)
      started?.abort(new Error(message))
    }
    const timer = setTimeout(() => failAndAbort(`no reply within ${exchange.timeoutMs} ms`), exchange.timeoutMs)

    pool.dispatch({
      method: exchange.method,
      path: exchange.path,
      headers: exchange.headers ?? {},
      body: exchange.body ?? null,
      headersTimeout: 0,
      bodyTimeout: 0
    }, {
      onRequestStart: (controller) => {
        if (isFinished) return controller.abort(new Error('given up before it was sent'))
        started = controller
      },
      onResponseStart: (_controller, statusCode, replyHeaders) => {
        status = statusCode
        headers = replyHeaders
      },
      onResponseData: (_controller, chunk) => {
        chunks.push(chunk)
        size += chunk.byteLength
        if (size > MAXIMUM_REPLY_BYTES) failAndAbort('the reply is too large')
      },
      onResponseEnd: () => {
        if (hasVerifiableEnd(exchange.method, status, headers)) finish(success({ status, headers, body: Buffer.concat(chunks) }))
        else fail('only the close of the connection ended the reply')
      },
      onResponseError: (_controller, error) => fail(error.message)
    })
  })
