/**
 * The way of one request: wait for its body, send it to a backend server,
 * check what comes back, repeat where that is harmless, and give the caller
 * exactly one final answer. What is known of the request decides what may be
 * said of it: "not run" only while no server may have run it.
 */
import { findAccount } from './findAccount.js'
import { createEventReader } from './createEventReader.js'
import type { EventReader, StreamEvent } from './createEventReader.js'
import { chooseInstance } from './chooseInstance.js'
import type { ChosenInstance } from './chooseInstance.js'
import { judgeAnswer } from './judgeAnswer.js'
import type { RepeatBudgets } from './createRepeatBudgets.js'
import type { TimeToFirstBytes } from './createTimeToFirstBytes.js'
import { isMoveDue } from '../../../decisions/isMoveDue/index.js'
import { selectTarget } from '../../../decisions/selectTarget/index.js'
import type {
  BackendInstance, CallerSink, Exchange, ExchangeFailure, ForwardingRun, GatewayAccount, GatewayRefusal, GatewayRequest, GatewayRoute, InstanceAnswer, LogFields
} from '../../../types/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import type { GatewayEvent } from '../../../types/gatewayEvents.js'
import type { ForwardingDependencies } from '../index.js'

export type RunContext = ForwardingDependencies & {
  readonly availabilityZone: string
  readonly readLoadFactor: () => number
  readonly readKeyFreshnessMs: () => number
  readonly budgets: RepeatBudgets
  readonly usualTimes: TimeToFirstBytes
  readonly onDone: () => void
}

export type Run = ForwardingRun & {
  readonly assign: (route: GatewayRoute, account: GatewayAccount | undefined) => void
  /** Looks at deadline and silences; called every few milliseconds. */
  readonly check: (now: number) => void
}

/** One send to one backend server. */
type Sending = {
  readonly instance: BackendInstance
  readonly startedAt: number
  readonly reader: EventReader
  exchange: Exchange | undefined
  isSent: boolean
  /** Monotonic milliseconds of the last bytes; of the start before any came. */
  lastBytesAt: number
  answer: InstanceAnswer | undefined
  chunks: Uint8Array[]
  bytes: number
  isOver: boolean
  isSilenceNoted: boolean
}

type RunOutcome = 'complete' | 'refused' | 'brokenOff' | 'failedAtBackend' | 'callerLeft'

const MILLISECONDS_PER_SECOND = 1_000
/** An answer that is no event stream is held until it is whole, up to so many bytes; longer ones go on as they come. */
const HELD_ANSWER_BYTES = 1024 * 1024
/** How long a request with a key waits for proof that its key still holds, in milliseconds. */
const KEY_CONFIRM_WAIT_MS = 400
/** Refusals by servers after which the request is refused, whatever the budget: the service is full. */
const REFUSALS_AT_MOST = 3
/** When to come back after all servers refused or none is there, in milliseconds; spread so that callers don't return as one. */
const RETURN_AFTER_MS = 250
const RETURN_SPREAD_MS = 500

/** Creates the run; it does nothing before `assign` and `submit`. */
export const createRun = (context: RunContext, request: GatewayRequest, sink: CallerSink): Run => {
  const { clock, random, logger, metrics, registry, health, loadView } = context
  const tried = new Set<string>()
  let route: GatewayRoute | undefined
  let account: GatewayAccount | undefined
  let service = ''
  let body: Uint8Array | undefined
  let sending: Sending | undefined
  let isDone = false
  let mayHaveRun = false
  let isHeadSent = false
  let isFirstSend = true
  let sends = 0
  let sendsBegun = 0
  let refusals = 0
  let lastEventId = request.lastEventId
  let isWaitingForKey = false
  /** The last failure that a server stated itself, for when nothing better comes. */
  let statedFailure: { readonly answer: InstanceAnswer, readonly body: Uint8Array } | undefined

  const returnAfterMs = (): number => RETURN_AFTER_MS + RETURN_SPREAD_MS * random.next()

  const deadlineAt = (): number =>
    request.receivedAt + Math.min(request.callerTimeoutMs ?? Infinity, route?.timeoutMs ?? Infinity)

  const log = (event: GatewayEvent, fields: LogFields): void => {
    logger.info(event, { requestId: request.requestId, route: route?.name, ...fields })
  }

  const policy = (): string => route?.repeatPolicy ?? 'none'

  const finish = (outcome: RunOutcome, fields: LogFields = {}): void => {
    isDone = true
    context.onDone()
    metrics.count('gateway_requests', { policy: policy(), outcome, reason: String(fields.reason ?? '') })
    metrics.observe('gateway_duration_seconds', (clock.now() - request.receivedAt) / MILLISECONDS_PER_SECOND, { policy: policy(), outcome })
    log(outcome === 'complete' ? 'request complete' : 'request ended', { outcome, sends, ms: Math.round(clock.now() - request.receivedAt), ...fields })
  }

  const dropSending = (): void => {
    const current = sending
    if (current === undefined) return
    sending = undefined
    if (!current.isOver) endSending(current)
    current.exchange?.abort()
  }

  const endSending = (current: Sending): void => {
    if (current.isOver) return
    current.isOver = true
    loadView.recordEnd(formatInstanceKey(current.instance))
    health.ended(current.instance)
  }

  const refuse = (refusal: GatewayRefusal): void => {
    if (isDone) return
    dropSending()
    if (isHeadSent) sink.fail()
    else sink.refuse(refusal)
    finish(isHeadSent ? 'brokenOff' : 'refused', { status: refusal.status, reason: refusal.reason, retryAfterMs: refusal.retryAfterMs === undefined ? undefined : Math.round(refusal.retryAfterMs), mayHaveRun })
  }

  /** Refuses with "not run" while that is true, and with "unknown" otherwise. */
  const giveUp = (reason: GatewayRefusal['reason'], statusIfUnknown: 502 | 504): void => {
    if (isHeadSent || !mayHaveRun) return refuse({ status: 503, reason, retryAfterMs: returnAfterMs() })
    if (statedFailure !== undefined) return finishStated(statedFailure)
    refuse({ status: statusIfUnknown, reason })
  }

  const finishStated = (failure: { readonly answer: InstanceAnswer, readonly body: Uint8Array }): void => {
    dropSending()
    sink.whole(failure.answer, failure.body)
    finish('failedAtBackend', { status: failure.answer.status })
  }

  const isRepeatable = (): boolean => route !== undefined && (route.repeatPolicy === 'safe' || (route.repeatPolicy === 'stream' && route.isResumable))

  const canSendAgain = (): boolean => {
    if (route === undefined || clock.now() >= deadlineAt()) return false
    if (mayHaveRun && (!isRepeatable() || sends >= route.maximumAttempts)) return false
    return refusals < REFUSALS_AT_MOST && context.budgets.canSpend(service) && findInstance() !== undefined
  }

  const findInstance = (): ChosenInstance | undefined => route === undefined ? undefined : chooseInstance(context, { request, service, bodyBytes: body?.length ?? 0, tried })

  const repeatOr = (otherwise: () => void): void => {
    if (!canSendAgain()) return otherwise()
    send()
  }

  /** A key may have been taken away while the request waited, and proof of the opposite may have grown old. */
  const isKeyGood = (): boolean => {
    const current = context.configuration.current()
    if (current === undefined || route === undefined) return false
    return findAccount(current, route, request.credential) !== 'unknown'
  }

  const needsKey = (): boolean => request.credential !== undefined && account !== undefined

  const isKeyFresh = (): boolean => !needsKey() || context.configuration.confirmedAgeMs() < context.readKeyFreshnessMs()

  const confirmKey = async (): Promise<void> => {
    isWaitingForKey = true
    await context.configuration.confirm(KEY_CONFIRM_WAIT_MS)
    isWaitingForKey = false
    if (isDone) return
    if (!isKeyFresh()) return giveUp('staleKeys', 504)
    send()
  }

  const send = (): void => {
    if (isDone || route === undefined || body === undefined || isWaitingForKey) return
    if (!isKeyFresh()) {
      confirmKey()
      return
    }
    if (needsKey() && !isKeyGood()) return mayHaveRun ? giveUp('unknownKey', 502) : refuse({ status: 401, reason: 'unknownKey' })
    const remainingMs = deadlineAt() - clock.now()
    if (remainingMs <= 1) return giveUp('deadlineBeforeSend', 504)
    const chosen = findInstance()
    if (chosen === undefined) return giveUp('noInstance', 502)
    if (isFirstSend) context.budgets.noteFirst(service)
    else if (!spendRepeat()) return giveUp('instancesRefused', 502)
    isFirstSend = false
    startSending(chosen, remainingMs, route, body)
  }

  const spendRepeat = (): boolean => {
    const isGranted = context.budgets.spend(service)
    metrics.count('gateway_repeats', { granted: String(isGranted) })
    return isGranted
  }

  const startSending = ({ instance, copyPromptFrom }: ChosenInstance, remainingMs: number, to: GatewayRoute, content: Uint8Array): void => {
    const now = clock.now()
    const current: Sending = { instance, startedAt: now, reader: createEventReader(), exchange: undefined, isSent: false, lastBytesAt: now, answer: undefined, chunks: [], bytes: 0, isOver: false, isSilenceNoted: false }
    sending = current
    tried.add(instance.id)
    loadView.recordStart(formatInstanceKey(instance))
    health.began(instance)
    context.directory.record(request.promptParts, formatInstanceKey(instance))
    if (copyPromptFrom !== undefined) metrics.count('gateway_prompt_copies')
    log(sendsBegun++ === 0 ? 'request sent' : 'request sent again', { backendServer: instance.id, incarnation: instance.incarnation, remainingMs: Math.round(remainingMs), configurationVersion: context.configuration.version(), keyAgeMs: Math.round(context.configuration.confirmedAgeMs()), resumeAfter: lastEventId, copyPromptFrom: copyPromptFrom?.id })
    current.exchange = context.client.send(
      { request, body: content, instance, account: account?.name, remainingMs, priority: account?.priority ?? to.priority, resumeAfter: lastEventId, copyPromptFrom: copyPromptFrom?.address },
      {
        onSent: () => {
          current.isSent = true
          if (sending === current) mayHaveRun = true
          if (sending === current) sends += 1
        },
        onHead: (answer) => { if (sending === current) takeHead(current, answer) },
        onData: (bytes) => { if (sending === current) takeData(current, bytes) },
        onEnd: () => { if (sending === current) takeEnd(current) },
        onFailure: (failure) => { if (sending === current) takeFailure(current, failure) }
      }
    )
  }

  const noteHeard = (current: Sending): void => {
    current.lastBytesAt = clock.now()
    health.heard(current.instance)
  }

  const takeHead = (current: Sending, answer: InstanceAnswer): void => {
    noteHeard(current)
    current.answer = answer
    metrics.observe('gateway_first_byte_seconds', (clock.now() - current.startedAt) / MILLISECONDS_PER_SECOND, { policy: policy() })
    if (answer.load !== undefined) loadView.applyReport(formatInstanceKey(current.instance), { ...answer.load, leaving: false, ageMs: 0 })
    const verdict = judgeAnswer(request, answer)
    if (verdict.kind === 'foreign') return takeFailure(current, { kind: 'broken', message: verdict.message })
    if (verdict.kind === 'notRun') return takeNotRun(current, answer)
    if (answer.status >= 200 && answer.status < 300) {
      const slowness = context.usualTimes.compare(route?.name ?? '', clock.now() - current.startedAt)
      health.record(current.instance, { kind: 'answered', slowness })
    }
    if (answer.isEventStream && answer.status === 200 && !isHeadSent) {
      isHeadSent = true
      sink.head(answer)
    } else if (isHeadSent && !(answer.isEventStream && answer.status === 200)) {
      takeFailure(current, { kind: 'broken', message: `status ${answer.status} instead of the rest of the stream` })
    }
  }

  /** The server states that it did not run the request: as if it had not been sent. */
  const takeNotRun = (current: Sending, answer: InstanceAnswer): void => {
    dropSending()
    sends -= 1
    mayHaveRun = sends > 0
    refusals += 1
    metrics.count('gateway_sends', { outcome: 'refused' })
    log('backend server refused', { backendServer: current.instance.id, status: answer.status, isOtherInstance: answer.isOtherInstance })
    if (answer.isOtherInstance) registry.markGone(current.instance, 'another backend server has its address')
    repeatOr(() => giveUp('instancesRefused', 502))
  }

  const takeData = (current: Sending, bytes: Uint8Array): void => {
    noteHeard(current)
    if (isHeadSent && current.answer?.isEventStream === true) return passEvents(current, bytes)
    if (isHeadSent) return passBytes(current, bytes)
    current.chunks.push(bytes)
    current.bytes += bytes.length
    if (current.bytes > HELD_ANSWER_BYTES && current.answer !== undefined) {
      isHeadSent = true
      sink.head(current.answer)
      for (const chunk of current.chunks.splice(0)) passBytes(current, chunk)
    }
  }

  const passBytes = (current: Sending, bytes: Uint8Array): void => {
    if (sink.data(bytes)) return
    current.exchange?.pause()
    sink.onDrain(() => { if (sending === current) current.exchange?.resume() })
  }

  const passEvents = (current: Sending, bytes: Uint8Array): void => {
    const events = current.reader.push(bytes)
    const wanted: Uint8Array[] = []
    for (const event of events) {
      if (isRepeated(event)) continue
      if (isAfterGap(event)) return takeFailure(current, { kind: 'broken', message: `event ${event.id} after ${lastEventId}` })
      lastEventId = event.id ?? lastEventId
      wanted.push(event.bytes)
    }
    if (wanted.length > 0) passBytes(current, wanted.length === 1 ? wanted[0]! : Buffer.concat(wanted))
  }

  const isRepeated = (event: StreamEvent): boolean => event.id !== undefined && lastEventId !== undefined && event.id <= lastEventId

  const isAfterGap = (event: StreamEvent): boolean => event.id !== undefined && lastEventId !== undefined && event.id > lastEventId + 1

  const complete = (current: Sending, fields: LogFields = {}): void => {
    metrics.count('gateway_sends', { outcome: 'complete' })
    finish('complete', { backendServer: current.instance.id, ...fields })
  }

  const takeEnd = (current: Sending): void => {
    const { answer } = current
    if (answer === undefined) return takeFailure(current, { kind: 'broken', message: 'end without an answer' })
    if (isHeadSent) {
      if (current.reader.pendingBytes() > 0) return takeFailure(current, { kind: 'broken', message: 'end in the middle of an event' })
      endSending(current)
      sending = undefined
      sink.end()
      return complete(current)
    }
    const whole = Buffer.concat(current.chunks)
    endSending(current)
    sending = undefined
    if (answer.status >= 500) return takeStatedFailure(current, answer, whole)
    sink.whole(answer, whole)
    complete(current, { status: answer.status })
  }

  const takeStatedFailure = (current: Sending, answer: InstanceAnswer, whole: Uint8Array): void => {
    health.record(current.instance, { kind: 'errored' })
    metrics.count('gateway_sends', { outcome: 'errored' })
    log('backend server failed', { backendServer: current.instance.id, status: answer.status })
    statedFailure = { answer, body: whole }
    repeatOr(() => finishStated({ answer, body: whole }))
  }

  const takeFailure = (current: Sending, failure: ExchangeFailure): void => {
    dropSending()
    const isNotSent = failure.kind === 'notSent'
    metrics.count('gateway_sends', { outcome: failure.kind })
    health.record(current.instance, isNotSent ? { kind: 'unreachable' } : { kind: 'broken' })
    log('exchange failed', { backendServer: current.instance.id, kind: failure.kind, reason: failure.message, lastEventId })
    repeatOr(() => giveUp(isNotSent ? 'noInstance' : 'answerBroken', 502))
  }

  const move = (current: Sending, now: number): void => {
    log('backend server silent', { backendServer: current.instance.id, silentMs: Math.round(now - current.lastBytesAt), lastEventId })
    dropSending()
    metrics.count('gateway_sends', { outcome: 'silent' })
    health.record(current.instance, { kind: 'unreachable' })
    send()
  }

  /** A request that has to wait on still tells of a server that is silent to all. */
  const noteSilence = (current: Sending): void => {
    if (current.isSilenceNoted || health.silentMs(current.instance) < clock.now() - current.lastBytesAt) return
    current.isSilenceNoted = true
    health.record(current.instance, { kind: 'unreachable' })
  }

  const check = (now: number): void => {
    if (isDone) return
    if (now >= deadlineAt()) return giveUp(mayHaveRun ? 'deadline' : 'deadlineBeforeSend', 504)
    const current = sending
    if (current === undefined || route === undefined || !current.isSent) return
    const isDue = isMoveDue({
      hasBegun: isHeadSent,
      waitedMs: now - current.lastBytesAt,
      instanceSilentMs: health.silentMs(current.instance),
      goalMs: route.goalMs,
      pauseGoalMs: route.pauseGoalMs,
      usualMs: context.usualTimes.usual(route.name)
    })
    if (!isDue) return
    if (isRepeatable() && canSendAgain()) return move(current, now)
    noteSilence(current)
  }

  return {
    assign: (to, holder) => {
      if (isDone) return
      route = to
      account = holder
      service = selectTarget(to.targets, random.next()).service
      // The body may have come while the request waited for its route.
      send()
    },
    submit: (content) => {
      if (isDone) return
      body = content
      send()
    },
    reject: refuse,
    cancel: () => {
      if (isDone) return
      dropSending()
      finish('callerLeft')
    },
    check
  }
}
