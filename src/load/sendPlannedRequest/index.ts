/** Sends one planned request to a router and says what came of it. */
import type { Dispatcher } from 'undici'
import type { Clock } from '../../types/index.js'
import type { PlannedRequest } from '../planLoad/index.js'
import { checkAnswer, type AnswerCheck } from './_lib/checkAnswer.js'
import { createAnswerReader, type AnswerRead } from './_lib/createAnswerReader.js'

/** What the caller was left with. Only `complete` is a success. */
export type LoadOutcome =
  | 'complete'
  /** A refusal that says the request was not run. */
  | 'refusedNotRun'
  /** A refusal that says the outcome is unknown. */
  | 'refusedUnknown'
  /** No complete answer and no refusal either: what must never be. */
  | 'broken'
  /** A complete answer that is not the one to this request: what must never be. */
  | 'wrong'

export type SentRequest = {
  readonly outcome: LoadOutcome
  /** The refusal's reason, or what was broken or wrong. */
  readonly reason?: string
  /** The identifier that the router gave the request. */
  readonly requestId?: string
  readonly servedBy?: string
  /** Sent back with the next turn of the chat. */
  readonly chatHint?: string
  /** Milliseconds from when it was sent to the first token, for streams. */
  readonly firstTokenMs?: number
  readonly betweenTokensMs: readonly number[]
  readonly wholeMs: number
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
  /** Told of the server as soon as the answer's head is there. */
  readonly onServedBy?: (backendServer: string) => void
}

type AnswerLabels = Pick<SentRequest, 'requestId' | 'servedBy' | 'chatHint'>

type WireRequest = { readonly method: 'GET' | 'POST', readonly path: string, readonly headers: Readonly<Record<string, string>>, readonly body: string | null }

const JSON_TYPE = { 'content-type': 'application/json' }

/**
 * Sends a planned request once, reads the answer to its end and checks it.
 *
 * The answer must be complete (the end marker of a stream, the whole body) and
 * must be the one that the stand-ins give to this very request. It never
 * throws: whatever goes wrong is an outcome.
 *
 * @param planned - What to send.
 * @param target - The router and the client account's key.
 * @param options - Clock and time-out in milliseconds; the chat's hint.
 * @returns What came of it.
 *
 * @example
 * await sendPlannedRequest(planned, { dispatcher, url, key }, { clock, timeoutMs: 60_000 })
 */
export const sendPlannedRequest = async (planned: PlannedRequest, target: LoadTarget, options: SendOptions): Promise<SentRequest> => {
  const startedAt = options.clock.now()
  const reader = createAnswerReader(options.clock, startedAt)
  let headers: AnswerLabels = {}
  const finish = (check: AnswerCheck): SentRequest => ({ ...headers, ...describeTimes(reader.read(), options.clock.now() - startedAt), ...check })

  try {
    const response = await target.dispatcher.request({
      origin: target.url,
      ...buildRequest(planned, target.key, options.chatHint),
      signal: AbortSignal.timeout(options.timeoutMs),
      headersTimeout: 0,
      bodyTimeout: 0
    })
    headers = readLabels(response.headers)
    if (headers.servedBy !== undefined) options.onServedBy?.(headers.servedBy)
    for await (const chunk of response.body) reader.add(chunk as Buffer)
    return finish(checkAnswer(planned, response.statusCode, reader.read()))
  } catch (error) {
    // A stream that fails tells so in an event before its socket is destroyed;
    // the destroyed socket ends up here, the event in what was read.
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

const readLabels = (headers: Readonly<Record<string, string | string[] | undefined>>): AnswerLabels => {
  const { 'x-request-id': requestId, 'x-served-by': servedBy, 'x-chat-hint': chatHint } = headers
  return {
    ...typeof requestId === 'string' ? { requestId } : {},
    ...typeof servedBy === 'string' ? { servedBy } : {},
    ...typeof chatHint === 'string' ? { chatHint } : {}
  }
}

const describeTimes = (read: AnswerRead, wholeMs: number): Omit<SentRequest, 'outcome'> => ({
  wholeMs,
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
