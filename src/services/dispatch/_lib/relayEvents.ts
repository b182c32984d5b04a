/**
 * Forwards the event stream of a model engine: complete events only, each
 * exactly once and in order. A stream that is cut off is resumed on the same
 * backend server.
 */
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { evaluateStreamEvent, type StreamPosition } from '../../../decisions/evaluateStreamEvent/index.js'
import type { BackendAnswer, BackendBodyPart, BackendServer, Headers } from '../../../types/index.js'
import { createFailedAttempt, type AttemptEnd } from './attemptEnd.js'
import type { RetryPlanner } from './createRetryPlanner.js'
import { describeAnswerHeaders } from './describeExchange.js'
import { readTokenUsage, type TokenUsage } from './readTokenUsage.js'
import { isIdempotent, type RequestContext } from './requestContext.js'
import { requestResume } from './requestResume.js'
import { isUnreachable } from './watchReachability.js'

const END_MARKER = '[DONE]'
/** A larger event is treated as a fault of the model engine. */
const MAXIMUM_EVENT_CHARACTERS = 4_000_000
/** After the end marker, the body is read to its end for at most this long, so that the connection can be reused. */
const CLOSING_TIMEOUT_MS = 1_000

/** `idle`: no data within the idle timeout, which also happens on a busy model engine. */
type ConnectionEnd = 'complete' | 'cut' | 'idle' | 'callerLeft'

/** What has been forwarded so far, over all connections of the stream. */
type StreamProgress = {
  position: StreamPosition
  usage: TokenUsage | undefined
  /** Milliseconds since the start of the request. */
  lastEventAt: number | undefined
  isComplete: boolean
  /** The stream so far, where a duplicate request may need it; dropped when it exceeds the buffer limit. */
  buffered: Uint8Array[] | undefined
  bufferedBytes: number
}

const writeEvent = ({ id, event, data }: EventSourceMessage): Uint8Array => {
  const lines = [
    ...(id === undefined ? [] : [`id: ${id}`]),
    ...(event === undefined ? [] : [`event: ${event}`]),
    ...data.split('\n').map((line) => `data: ${line}`)
  ]
  return Buffer.from(`${lines.join('\n')}\n\n`)
}

/** Checks the event against the sequence of event ids. The end marker may come without an id. */
const checkEventOrder = (progress: StreamProgress, event: EventSourceMessage): ReturnType<typeof evaluateStreamEvent> =>
  event.data === END_MARKER && event.id === undefined
    ? { kind: 'forward', position: progress.position }
    : evaluateStreamEvent(progress.position, event.id)

const bufferEvent = ({ limits }: RequestContext, progress: StreamProgress, bytes: Uint8Array): void => {
  progress.bufferedBytes += bytes.length
  if (progress.bufferedBytes > limits.answerBufferBytes) progress.buffered = undefined
  progress.buffered?.push(bytes)
}

const startProgress = (context: RequestContext): StreamProgress =>
  ({ position: { lastId: 0 }, usage: undefined, lastEventAt: undefined, isComplete: false, buffered: isIdempotent(context) ? undefined : [], bufferedBytes: 0 })

const deliver = (headers: Headers, status: number, { usage, buffered }: StreamProgress): AttemptEnd => ({
  kind: 'delivered',
  outcome: 'complete',
  ...(usage === undefined ? {} : { usage }),
  ...(buffered === undefined ? {} : { stored: { status, headers, body: Buffer.concat(buffered) } })
})

const observeTokenTiming = ({ dependencies, scope }: RequestContext, progress: StreamProgress): void => {
  const now = scope.elapsedMs()
  if (progress.lastEventAt === undefined) dependencies.metrics.observe('first_token_seconds', now / 1_000)
  else dependencies.metrics.observe('between_tokens_seconds', (now - progress.lastEventAt) / 1_000)
  progress.lastEventAt = now
}

const forwardEvent = async (context: RequestContext, headers: Headers, status: number, progress: StreamProgress, event: EventSourceMessage): Promise<ConnectionEnd | undefined> => {
  const { reply, scope } = context
  const decision = checkEventOrder(progress, event)
  if (decision.kind === 'drop') return undefined
  if (decision.kind === 'gap') return 'cut'
  progress.position = decision.position
  progress.usage = readTokenUsage(event.data) ?? progress.usage
  observeTokenTiming(context, progress)
  if (!reply.hasStarted()) reply.startStream(status, headers)
  const bytes = writeEvent(event)
  bufferEvent(context, progress, bytes)
  const isCallerReading = await reply.sendData(bytes, scope.signal)
  if (!isCallerReading) return 'callerLeft'
  return event.data === END_MARKER ? 'complete' : undefined
}

const classifyConnectionEnd = ({ isComplete }: StreamProgress, part: Exclude<BackendBodyPart, { kind: 'data' }>): ConnectionEnd => {
  if (isComplete) return 'complete'
  return part.kind === 'cut' && part.isIdle === true ? 'idle' : 'cut'
}

const relayConnection = async (context: RequestContext, headers: Headers, answer: BackendAnswer, progress: StreamProgress): Promise<ConnectionEnd> => {
  const events: EventSourceMessage[] = []
  const decoder = new TextDecoder()
  const parser = createParser({ onEvent: (event) => { events.push(event) }, maxBufferSize: MAXIMUM_EVENT_CHARACTERS })
  for await (const part of answer.body) {
    if (part.kind !== 'data') return classifyConnectionEnd(progress, part)
    if (progress.isComplete) continue
    parser.feed(decoder.decode(part.bytes, { stream: true }))
    for (const event of events.splice(0)) {
      const end = await forwardEvent(context, headers, answer.status, progress, event)
      if (end === 'complete') {
        progress.isComplete = true
        context.reply.endStream()
        context.dependencies.clock.setTimer(CLOSING_TIMEOUT_MS, answer.abort)
        break
      }
      if (end !== undefined) return end
    }
  }
  return progress.isComplete ? 'complete' : 'cut'
}

type Resumed = { readonly answer: BackendAnswer, readonly resumes: number }

/** Resumes the stream. Resumes without a new event count towards the limit; `resumesWithoutProgress` is their number so far. */
const resume = async (context: RequestContext, planner: RetryPlanner, backendServer: BackendServer, progress: StreamProgress, resumesWithoutProgress: number): Promise<Resumed | undefined> => {
  const { dependencies, scope, reply } = context
  const cut = createFailedAttempt('written', 'answerStarted', 'cut')
  const canRequestResume = reply.hasStarted() || !isUnreachable(context, backendServer)
  let isResumable = progress.position.isNumbered !== false && canRequestResume
  for (let resumes = resumesWithoutProgress; !scope.signal.aborted; resumes += 1) {
    const plan = planner.plan(cut, { isResumable, resumes })
    if (plan.kind !== 'resume' || !await scope.wait(plan.delayMs)) return undefined
    dependencies.metrics.count('retries', { decision: plan.kind })
    const resumed = await requestResume(context, backendServer, progress.position.lastId)
    if (resumed.kind === 'resumed') return { answer: resumed.answer, resumes: resumes + 1 }
    // While nothing has been forwarded, another backend server answers sooner than a failed one recovers.
    isResumable = resumed.kind === 'failed' && reply.hasStarted()
  }
  return undefined
}

export const relayEvents = async (context: RequestContext, planner: RetryPlanner, backendServer: BackendServer, first: BackendAnswer): Promise<AttemptEnd> => {
  const progress = startProgress(context)
  const headers = describeAnswerHeaders(context, backendServer, first)
  let current: Resumed | undefined = { answer: first, resumes: 0 }
  while (current !== undefined) {
    const before = progress.position.lastId
    const end = await relayConnection(context, headers, current.answer, progress)
    if (end === 'complete') return deliver(headers, first.status, progress)
    if (end === 'callerLeft') return { kind: 'callerLeft', attempt: createFailedAttempt('written', 'answerStarted', 'cancelled') }
    const hasProgressed = progress.position.lastId > before
    const resumesWithoutProgress = hasProgressed ? 0 : current.resumes
    // An engine that accepts the resume and then sends nothing is still working through its queue; only the deadline ends that wait.
    current = await resume(context, planner, backendServer, progress, end === 'idle' ? Math.max(0, resumesWithoutProgress - 1) : resumesWithoutProgress)
  }
  return { kind: 'failed', attempt: createFailedAttempt('written', 'answerStarted', 'cut'), message: 'the stream ended without its end marker', outcome: 'failed' }
}
