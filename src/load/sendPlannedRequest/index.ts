/** Sends one planned request to a router and determines its outcome. */
import type { Dispatcher } from 'undici'
import type { Clock } from '../../types/index.js'
import type { PlannedRequest } from '../planLoad/index.js'
import { checkAnswer, type AnswerCheck } from './_lib/checkAnswer.js'
import { createAnswerReader, type ReceivedAnswer } from './_lib/createAnswerReader.js'

/** Outcome of a request as the caller sees it. Only `complete` is a success. */
export type LoadOutcome =
  | 'complete'
  /** A refusal that says the request was not run. */
  | 'refusedNotRun'
  /** A refusal that says the outcome is unknown. */
  | 'refusedUnknown'
  /** Neither a complete answer nor a refusal: a fault of the fleet. */
  | 'broken'
  /** A complete answer, but not the one to this request: a fault of the fleet. */
  | 'wrong'

export type SentRequest = {
  readonly outcome: LoadOutcome
  /** The reason of the refusal, or what is broken or wrong. */
  readonly reason?: string
  /** The request identifier that the router assigned. */
  readonly requestId?: string
  /** The backend server that answered. */
  readonly servedBy?: string
  /** Sent back with the next turn of the chat. */
  readonly chatHint?: string
  /** Time from sending the request to the first token, in milliseconds; streams only. */
  readonly firstTokenMs?: number
  readonly betweenTokensMs: readonly number[]
  readonly totalMs: number
  readonly promptTokens?: number
  readonly cachedTokens?: number
  readonly completionTokens?: number
}

export type LoadTarget = {
  readonly dispatcher: Dispatcher
  readonly url: string
  readonly key: string
}

export type SendOptions = {
  readonly clock: Clock
  readonly timeoutMs: number
  readonly chatHint?: string | undefined
  /** Called with the backend server as soon as the response headers have arrived. */
  readonly onServedBy?: (backendServer: string) => void
}

type AnswerHeaders = Pick<SentRequest, 'requestId' | 'servedBy' | 'chatHint'>

type WireRequest = { readonly method: 'GET' | 'POST', readonly path: string, readonly headers: Readonly<Record<string, string>>, readonly body: string | null }

const JSON_TYPE = { 'content-type': 'application/json' }

/**
 * Sends a planned request once, reads the answer to its end and checks it.
 *
 * The answer must be complete (a stream up to its end marker, otherwise the
 * complete body) and must be the one that the emulated servers give to this
 * request. The function never throws: every error is an outcome.
 *
 * @param planned - The request to send.
 * @param target - The router and the key of the client account.
 * @param options - Clock, time-out in milliseconds, and the chat hint.
 * @returns The outcome, with its latencies and usage.
 *
 * @example
 * await sendPlannedRequest(planned, { dispatcher, url, key }, { clock, timeoutMs: 60_000 })
 */
export const sendPlannedRequest = async (planned: PlannedRequest, target: LoadTarget, options: SendOptions): Promise<SentRequest> => {
  const startedAt = options.clock.now()
  const reader = createAnswerReader(options.clock, startedAt)
  let headers: AnswerHeaders = {}
  const finish = (check: AnswerCheck): SentRequest => ({ ...headers, ...buildMeasurements(reader.read(), options.clock.now() - startedAt), ...check })

  try {
    const response = await target.dispatcher.request({
      origin: target.url,
      ...buildRequest(planned, target.key, options.chatHint),
      signal: AbortSignal.timeout(options.timeoutMs),
      headersTimeout: 0,
      bodyTimeout: 0
    })
    headers = readAnswerHeaders(response.headers)
    if (headers.servedBy !== undefined) options.onServedBy?.(headers.servedBy)
    for await (const chunk of response.body) reader.add(chunk as Buffer)
    return finish(checkAnswer(planned, response.statusCode, reader.read()))
  } catch (error) {
    // The router sends an error event before it destroys the socket of a failed
    // stream. The destroyed socket is caught here; the event has been read before.
    const { refusal } = reader.read()
    return finish(refusal ?? { outcome: 'broken', reason: describeError(error) })
  }
}

const buildRequest = (planned: PlannedRequest, key: string, chatHint: string | undefined): WireRequest => {
  const authorization = { authorization: `Bearer ${key}` }
  if (planned.kind === 'lookup') return { method: 'GET', path: planned.path, headers: authorization, body: null }
  if (planned.kind === 'order') {
    return { method: 'POST', path: planned.path, headers: { ...authorization, ...JSON_TYPE, 'idempotency-key': planned.idempotencyKey }, body: planned.body }
  }
  const hint = chatHint === undefined ? {} : { 'x-chat-hint': chatHint }
  const streaming = planned.kind === 'chat' ? { stream: true, stream_options: { include_usage: true } } : {}
  return {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { ...authorization, ...JSON_TYPE, ...hint, 'x-chat-id': planned.chatId },
    body: JSON.stringify({ model: planned.model, messages: planned.messages, max_tokens: planned.maximumTokens, ...streaming })
  }
}

const readAnswerHeaders = (headers: Readonly<Record<string, string | string[] | undefined>>): AnswerHeaders => {
  const { 'x-request-id': requestId, 'x-served-by': servedBy, 'x-chat-hint': chatHint } = headers
  return {
    ...typeof requestId === 'string' ? { requestId } : {},
    ...typeof servedBy === 'string' ? { servedBy } : {},
    ...typeof chatHint === 'string' ? { chatHint } : {}
  }
}

const buildMeasurements = (read: ReceivedAnswer, totalMs: number): Omit<SentRequest, 'outcome'> => ({
  totalMs,
  betweenTokensMs: read.betweenTokensMs,
  ...read.firstTokenMs === undefined ? {} : { firstTokenMs: read.firstTokenMs },
  ...read.promptTokens === undefined ? {} : { promptTokens: read.promptTokens },
  ...read.cachedTokens === undefined ? {} : { cachedTokens: read.cachedTokens },
  ...read.completionTokens === undefined ? {} : { completionTokens: read.completionTokens }
})

const describeError = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error)
  const code = (error as { readonly code?: unknown }).code
  return typeof code === 'string' ? code : error.name
}
