/**
 * Passes on an engine's stream of events: whole events only, each one once and
 * in order. A stream that is cut is resumed on the same backend server.
 */
import { createParser, type EventSourceMessage } from 'eventsource-parser'
import { orderStreamEvent, type StreamPosition } from '../../../decisions/orderStreamEvent/index.js'
import type { BackendAnswer, BackendBodyPart, BackendServer, Headers } from '../../../types/index.js'
import { failAfter, type AttemptEnd } from './attemptEnd.js'
import type { RetryPlanner } from './createRetryPlanner.js'
import { describeAnswerHeaders } from './describeExchange.js'
import { readTokenUsage, type TokenUsage } from './readTokenUsage.js'
import { mayRepeat, type RequestContext } from './requestContext.js'
import { requestResume } from './requestResume.js'
import { isUnreachable } from './watchReachability.js'

const END_MARKER = '[DONE]'
/** One event larger than this is a fault of the engine. */
const MAXIMUM_EVENT_CHARACTERS = 4_000_000
/** After the end marker only the end of the body is left to read, to keep the connection. */
const CLOSING_TIMEOUT_MS = 1_000

/** `idle`: silent for too long, which a busy engine may be. */
type ConnectionEnd = 'whole' | 'cut' | 'idle' | 'callerLeft'

/** What has been passed on, over all connections of the stream. */
type StreamProgress = {
  position: StreamPosition
  usage: TokenUsage | undefined
  /** On the request's own time line, in milliseconds. */
  lastEventAt: number | undefined
  isWhole: boolean
  /** The whole stream so far, where a repeat may ask for it; dropped when it grows too large. */
  kept: Uint8Array[] | undefined
  keptBytes: number
}

const writeEvent = ({ id, event, data }: EventSourceMessage): Uint8Array => {
  const lines = [
    ...(id === undefined ? [] : [`id: ${id}`]),
    ...(event === undefined ? [] : [`event: ${event}`]),
    ...data.split('\n').map((line) => `data: ${line}`)
  ]
  return Buffer.from(`${lines.join('\n')}\n\n`)
}

/** The end marker may come without a number; all else follows the numbers. */
const judge = (progress: StreamProgress, event: EventSourceMessage): ReturnType<typeof orderStreamEvent> =>
  event.data === END_MARKER && event.id === undefined
    ? { kind: 'forward', position: progress.position }
    : orderStreamEvent(progress.position, event.id)

const keepEvent = ({ limits }: RequestContext, progress: StreamProgress, bytes: Uint8Array): void => {
  progress.keptBytes += bytes.length
  if (progress.keptBytes > limits.answerBufferBytes) progress.kept = undefined
  progress.kept?.push(bytes)
}

const startProgress = (context: RequestContext): StreamProgress =>
  ({ position: { lastId: 0 }, usage: undefined, lastEventAt: undefined, isWhole: false, kept: mayRepeat(context) ? undefined : [], keptBytes: 0 })

const deliver = (headers: Headers, status: number, { usage, kept }: StreamProgress): AttemptEnd => ({
  kind: 'delivered',
  outcome: 'complete',
  ...(usage === undefined ? {} : { usage }),
  ...(kept === undefined ? {} : { stored: { status, headers, body: Buffer.concat(kept) } })
})

const observePace = ({ dependencies, scope }: RequestContext, progress: StreamProgress): void => {
  const now = scope.elapsedMs()
  if (progress.lastEventAt === undefined) dependencies.metrics.observe('first_token_seconds', now / 1_000)
  else dependencies.metrics.observe('between_tokens_seconds', (now - progress.lastEventAt) / 1_000)
  progress.lastEventAt = now
}

const forwardEvent = async (context: RequestContext, headers: Headers, status: number, progress: StreamProgress, event: EventSourceMessage): Promise<ConnectionEnd | undefined> => {
  const { reply, scope } = context
  const verdict = judge(progress, event)
  if (verdict.kind === 'drop') return undefined
  if (verdict.kind === 'gap') return 'cut'
  progress.position = verdict.position
  progress.usage = readTokenUsage(event.data) ?? progress.usage
  observePace(context, progress)
  if (!reply.hasStarted()) reply.startStream(status, headers)
  const bytes = writeEvent(event)
  keepEvent(context, progress, bytes)
  const isTaken = await reply.sendData(bytes, scope.signal)
  if (!isTaken) return 'callerLeft'
  return event.data === END_MARKER ? 'whole' : undefined
}

const describeLastPart = ({ isWhole }: StreamProgress, part: Exclude<BackendBodyPart, { kind: 'data' }>): ConnectionEnd => {
  if (isWhole) return 'whole'
  return part.kind === 'cut' && part.isIdle === true ? 'idle' : 'cut'
}

const relayConnection = async (context: RequestContext, headers: Headers, answer: BackendAnswer, progress: StreamProgress): Promise<ConnectionEnd> => {
  const events: EventSourceMessage[] = []
  const decoder = new TextDecoder()
  const parser = createParser({ onEvent: (event) => { events.push(event) }, maxBufferSize: MAXIMUM_EVENT_CHARACTERS })
  for await (const part of answer.body) {
    if (part.kind !== 'data') return describeLastPart(progress, part)
    if (progress.isWhole) continue
    parser.feed(decoder.decode(part.bytes, { stream: true }))
    for (const event of events.splice(0)) {
      const end = await forwardEvent(context, headers, answer.status, progress, event)
      if (end === 'whole') {
        progress.isWhole = true
        context.reply.endStream()
        context.dependencies.clock.setTimer(CLOSING_TIMEOUT_MS, answer.abort)
        break
      }
      if (end !== undefined) return end
    }
  }
  return progress.isWhole ? 'whole' : 'cut'
}

type Resumed = { readonly answer: BackendAnswer, readonly resumes: number }

/** Resumes that bring no new event count towards the limit; `made` of them were in vain already. */
const resume = async (context: RequestContext, planner: RetryPlanner, backendServer: BackendServer, progress: StreamProgress, made: number): Promise<Resumed | undefined> => {
  const { dependencies, scope, reply } = context
  const cut = failAfter('written', 'answerStarted', 'cut')
  const isWorthAsking = reply.hasStarted() || !isUnreachable(context, backendServer)
  let isResumable = progress.position.numbered !== false && isWorthAsking
  for (let resumes = made; !scope.signal.aborted; resumes += 1) {
    const plan = planner.plan(cut, { isResumable, resumes })
    if (plan.kind !== 'resume' || !await scope.wait(plan.delayMs)) return undefined
    dependencies.metrics.count('retries', { decision: plan.kind })
    const resumed = await requestResume(context, backendServer, progress.position.lastId)
    if (resumed.kind === 'resumed') return { answer: resumed.answer, resumes: resumes + 1 }
    // With nothing passed on yet, another backend server answers sooner than a dead one comes back.
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
    if (end === 'whole') return deliver(headers, first.status, progress)
    if (end === 'callerLeft') return { kind: 'callerLeft', attempt: failAfter('written', 'answerStarted', 'cancelled') }
    const hasMovedOn = progress.position.lastId > before
    const inVain = hasMovedOn ? 0 : current.resumes
    // An engine that answers the resume and is silent again works through its queue; only the deadline ends that.
    current = await resume(context, planner, backendServer, progress, end === 'idle' ? Math.max(0, inVain - 1) : inVain)
  }
  return { kind: 'failed', attempt: failAfter('written', 'answerStarted', 'cut'), message: 'the stream ended without its end marker', outcome: 'failed' }
}
