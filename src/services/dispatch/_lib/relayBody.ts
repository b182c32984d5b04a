/**
 * Forwards an answer that is not an event stream. The answer is buffered and
 * checked first, so that another attempt can replace a truncated one. An answer
 * that is too large to buffer is streamed.
 */
import type { BackendAnswer, BackendServer, Headers } from '../../../types/index.js'
import { createFailedAttempt, type AttemptEnd } from './attemptEnd.js'
import { describeAnswerHeaders, describeUnknownOutcome, selectAnswerStatus } from './describeExchange.js'
import { readTokenUsage } from './readTokenUsage.js'
import type { RequestContext } from './requestContext.js'

const FIRST_SERVER_ERROR = 500

const failTruncated = (message: string): AttemptEnd =>
  ({ kind: 'failed', attempt: createFailedAttempt('written', 'answerStarted', 'cut'), message, outcome: 'failed' })

/**
 * Detects an answer that its server truncated but terminated properly, so that
 * length and chunks are consistent: its JSON does not parse. An empty body with
 * the content type of JSON is valid for a plain service.
 */
const isBrokenJson = (context: RequestContext, answer: BackendAnswer, body: Buffer): boolean => {
  const isJson = (answer.headers['content-type'] ?? '').startsWith('application/json')
  const mayBeEmpty = context.routed.serviceKind === 'plain'
  if (!isJson || (mayBeEmpty && body.length === 0)) return false
  try {
    JSON.parse(body.toString('utf8'))
    return false
  } catch {
    return true
  }
}

const deliverComplete = (context: RequestContext, answer: BackendAnswer, status: number, headers: Headers, body: Buffer): AttemptEnd => {
  if (isBrokenJson(context, answer, body)) return failTruncated('the answer is not whole JSON')
  context.reply.sendComplete(status, headers, body)
  const usage = context.routed.serviceKind === 'model' ? readTokenUsage(body.toString('utf8')) : undefined
  return {
    kind: 'delivered',
    stored: { status, headers, body },
    outcome: status >= FIRST_SERVER_ERROR ? 'failed' : 'complete',
    ...(usage === undefined ? {} : { usage })
  }
}

const isEventStream = (headers: Headers): boolean => (headers['content-type'] ?? '').startsWith('text/event-stream')

export const relayBody = async (context: RequestContext, backendServer: BackendServer, answer: BackendAnswer): Promise<AttemptEnd> => {
  const { reply, scope, limits } = context
  const status = selectAnswerStatus(context, answer)
  const headers = { ...describeAnswerHeaders(context, backendServer, answer), ...describeUnknownOutcome(context, status) }
  const bufferBytes = isEventStream(answer.headers) ? 0 : limits.answerBufferBytes
  const chunks: Uint8Array[] = []
  let size = 0

  for await (const part of answer.body) {
    if (part.kind === 'cut') return failTruncated(part.message)
    if (part.kind === 'end') break
    size += part.bytes.length
    if (size <= bufferBytes) {
      chunks.push(part.bytes)
      continue
    }
    if (!reply.hasStarted()) reply.startStream(status, headers)
    const isCallerReading = await reply.sendData(Buffer.concat([...chunks.splice(0), part.bytes]), scope.signal)
    if (!isCallerReading) return { kind: 'callerLeft', attempt: createFailedAttempt('written', 'answerStarted', 'cancelled') }
  }

  if (!reply.hasStarted()) return deliverComplete(context, answer, status, headers, Buffer.concat(chunks))
  reply.endStream()
  return { kind: 'delivered', outcome: 'complete' }
}
