/**
 * Writes the final answer of a request to its caller: a complete answer, a
 * stream or a refusal.
 */
import type { ServerResponse } from 'node:http'
import type { AnswerPart, CallerAnswer, Clock, Headers, Refusal } from '../../../types/index.js'

export type AnswerWriter = {
  readonly response: ServerResponse
  readonly requestId: string
  readonly clock: Clock
  /** Maximum wait for a caller that doesn't read, in milliseconds. */
  readonly writeTimeoutMs: number
}

type Writers = {
  readonly [Kind in CallerAnswer['kind']]: (writer: AnswerWriter, answer: Extract<CallerAnswer, { kind: Kind }>) => Promise<void>
}

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

const describeError = (refusal: Refusal): string => JSON.stringify({
  error: {
    message: refusal.message,
    type: refusal.status < 500 ? 'invalid_request_error' : 'server_error',
    code: refusal.reason,
    outcome: refusal.outcome,
    retry_after_ms: refusal.retryAfterMs ?? null
  }
})

/** Client libraries retry a failed request because of its status alone, unless `x-should-retry` forbids it. */
const describeRetry = (refusal: Refusal): Headers => {
  if (refusal.retryAfterMs === undefined) return { 'x-should-retry': 'false' }
  const milliseconds = Math.max(0, Math.ceil(refusal.retryAfterMs))
  return { 'retry-after': String(Math.ceil(milliseconds / 1_000)), 'retry-after-ms': String(milliseconds) }
}

const setHeaders = (response: ServerResponse, headers: Headers): void => {
  for (const [name, value] of Object.entries(headers)) {
    response.setHeader(name, name === 'set-cookie' ? value.split('\n') : value)
  }
}

const writeComplete = (writer: AnswerWriter, status: number, headers: Headers, body: Uint8Array): void => {
  const { response } = writer
  setHeaders(response, headers)
  response.setHeader('x-request-id', writer.requestId)
  response.statusCode = status
  if (response.req.method === 'HEAD' || BODILESS_STATUSES.has(status)) {
    response.end()
    return
  }
  response.setHeader('content-length', body.length)
  response.end(body)
}

/** Resolves with `false` when the caller has disconnected or doesn't read for too long. */
const waitForDrain = (writer: AnswerWriter): Promise<boolean> => new Promise((resolve) => {
  const { response, clock, writeTimeoutMs } = writer
  const settle = (isDrained: boolean): void => {
    timer.cancel()
    response.off('drain', onDrain)
    response.off('close', onClose)
    resolve(isDrained)
  }
  const onDrain = (): void => settle(true)
  const onClose = (): void => settle(false)
  const timer = clock.setTimer(writeTimeoutMs, () => settle(false))
  response.once('drain', onDrain)
  response.once('close', onClose)
})

const writeBytes = async (writer: AnswerWriter, bytes: Uint8Array | string): Promise<boolean> => {
  if (writer.response.destroyed) return false
  if (writer.response.write(bytes)) return true
  return await waitForDrain(writer)
}

/**
 * Ends a failed stream so that it doesn't look complete. Ending the response
 * would send the last chunk of a well-formed body, which client libraries take
 * for its end; they report an error only for a destroyed socket. The error event
 * is sent first, for callers that read events.
 */
const abortStream = async (writer: AnswerWriter, refusal: Refusal): Promise<void> => {
  const { response } = writer
  const isEventStream = String(response.getHeader('content-type') ?? '').startsWith('text/event-stream')
  if (isEventStream && !response.destroyed) {
    await new Promise<void>((resolve) => {
      response.once('close', resolve)
      response.write(`data: ${describeError(refusal)}\n\n`, () => resolve())
    })
  }
  response.destroy()
}

const writeStream = async (writer: AnswerWriter, parts: AsyncIterable<AnswerPart>): Promise<void> => {
  for await (const part of parts) {
    if (part.kind === 'failed') return await abortStream(writer, part.refusal)
    if (part.kind === 'end') {
      writer.response.end()
      return
    }
    const isWritten = await writeBytes(writer, part.bytes)
    if (!isWritten) break
  }
  writer.response.destroy()
}

const writers: Writers = {
  whole: async (writer, answer) => {
    writeComplete(writer, answer.status, answer.headers, answer.body)
  },
  refused: async (writer, { refusal }) => {
    const headers = { 'content-type': 'application/json', 'x-request-outcome': refusal.outcome, ...describeRetry(refusal) }
    writeComplete(writer, refusal.status, headers, Buffer.from(describeError(refusal)))
  },
  stream: async (writer, answer) => {
    setHeaders(writer.response, answer.headers)
    writer.response.setHeader('x-request-id', writer.requestId)
    writer.response.statusCode = answer.status
    writer.response.flushHeaders()
    await writeStream(writer, answer.parts)
  }
}

export const writeAnswer = (writer: AnswerWriter, answer: CallerAnswer): Promise<void> => {
  if (writer.response.destroyed && answer.kind !== 'stream') return Promise.resolve()
  const write = writers[answer.kind] as (writer: AnswerWriter, answer: CallerAnswer) => Promise<void>
  return write(writer, answer)
}
