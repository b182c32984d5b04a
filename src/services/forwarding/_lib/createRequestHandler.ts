/**
 * Handles one request: waits for its body, sends it to a backend server, checks the
 * answer, retries where that is safe, and gives the caller exactly one final answer.
 * A refusal states "not run" only while no backend server may have run the request.
 */
import { checkKey } from './checkKey.js'
import { selectInstance, computeAvailableInMs, findIneligibility, type SelectionInput, type SelectedInstance } from './selectInstance.js'
import { classifyFailure } from './classifyFailure.js'
import { createAnswerIntake, type AnswerIntake, type AnswerListener } from './createAnswerIntake.js'
import { createCallerAnswer } from './createCallerAnswer.js'
import { createFinalAnswer } from './createFinalAnswer.js'
import { createRequestRecord } from './createRequestRecord.js'
import { createSendAttempt, type SendAttempt } from './createSendAttempt.js'
import { createAttemptReporter } from './createAttemptReporter.js'
import { describeReach } from './describeReach.js'
import { describeSend } from './describeSend.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import { isFailoverDue } from '../../../decisions/isFailoverDue/index.js'
import { selectRouteTarget } from '../../../decisions/selectRouteTarget/index.js'
import type {
  CallerSink, ExchangeFailure, GatewayAccount, GatewayRefusal, GatewayRequest, GatewayRoute, InstanceAnswer, LogFields
} from '../../../types/index.js'
import type { RequestHandler, RequestHandlerContext } from './requestHandler.js'

/** How long a request with a key waits for the configuration to be confirmed, in milliseconds. */
const KEY_CONFIRM_WAIT_MS = 400
/** Refusals by backend servers after which the request itself is refused, whatever the retry budget: the service is full. */
const MAXIMUM_REFUSALS = 3
/** The delay is short because a new connection reaches another node. */
const SHUTTING_DOWN: GatewayRefusal = { status: 503, reason: 'shuttingDown', retryAfterMs: 20 }

/** Creates the handler of one request; it sends nothing before `assign` and `submit`. */
export const createRequestHandler = (context: RequestHandlerContext, request: GatewayRequest, sink: CallerSink): RequestHandler => {
  const { clock, random, metrics, registry, health, notices, loadView } = context
  const tried = new Set<string>()
  let route: GatewayRoute | undefined
  let account: GatewayAccount | undefined
  let service = ''
  let body: Uint8Array | undefined
  let activeAttempt: SendAttempt | undefined
  let isDone = false
  let mayHaveRun = false
  let sends = 0
  let attemptsStarted = 0
  let refusals = 0
  let isWaitingForKey = false
  const caller = createCallerAnswer(sink, request.lastEventId)
  const record = createRequestRecord(context, request, () => route)
  const reporter = createAttemptReporter(context, { request, readRoute: () => route, readService: () => service })

  const deadlineAt = (): number =>
    request.receivedAt + Math.min(request.callerTimeoutMs ?? Infinity, route?.timeoutMs ?? Infinity)

  /** The longest time that the request may still take, in milliseconds. A non-streaming request that no server received yet counts with its full time-out. */
  const computeMaximumMs = (to: GatewayRoute): number =>
    mayHaveRun || to.retryPolicy === 'stream' ? deadlineAt() - clock.now() : to.timeoutMs

  const abortAttempt = (): void => {
    const current = activeAttempt
    if (current === undefined) return
    activeAttempt = undefined
    endAttempt(current)
    current.exchange?.abort()
  }

  const endAttempt = (current: SendAttempt): void => {
    if (current.isFinished) return
    current.isFinished = true
    loadView.recordEnd(formatInstanceKey(current.instance))
    health.recordEnd(current.instance)
  }

  const finalAnswer = createFinalAnswer({
    caller,
    record,
    random,
    readProgress: () => ({ mayHaveRun, sends }),
    readAvailability: () => ({ availableInMs: computeAvailableInMs(context, createSelectionInput()), remainingMs: deadlineAt() - clock.now() }),
    abortAttempt,
    onDone: () => {
      isDone = true
      reporter.reportEnd()
      context.onDone()
    }
  })
  const { finish, refuse, giveUp } = finalAnswer

  const isRetryable = (): boolean => route !== undefined && (route.retryPolicy === 'safe' || (route.retryPolicy === 'stream' && route.isResumable))

  const canRetry = (): boolean => {
    if (route === undefined || clock.now() >= deadlineAt()) return false
    if (mayHaveRun && (!isRetryable() || sends >= route.maximumAttempts)) return false
    return refusals < MAXIMUM_REFUSALS && context.retryWindows.canRetry(service) && selectNextInstance() !== undefined
  }

  const createSelectionInput = (): SelectionInput => ({ request, service, bodyBytes: body?.length ?? 0, tried, allowedRegions: [route?.allowedRegions ?? [], account?.allowedRegions ?? []] })

  const selectNextInstance = (): SelectedInstance | undefined => route === undefined ? undefined : selectInstance(context, createSelectionInput())

  /** No backend server is eligible: waiting would not help, and the reason sets the Retry-After. */
  const giveUpWithoutInstance = (): void => {
    const ineligibility = findIneligibility(context, createSelectionInput())
    if (ineligibility === undefined || ineligibility === 'open') return giveUp('noInstance', 502, describeReach(context))
    giveUp(ineligibility, 502, { zoneDrainRevision: context.zoneDrains.revision(), configurationVersion: context.configuration.version() })
  }

  const retryOr = (otherwise: () => void): void => {
    if (!canRetry()) return otherwise()
    send()
  }

  const confirmKey = async (to: GatewayRoute): Promise<void> => {
    isWaitingForKey = true
    await context.configuration.confirm(KEY_CONFIRM_WAIT_MS)
    isWaitingForKey = false
    if (isDone) return
    if (checkKey(context, request, to, account) === 'unconfirmed') return giveUp('staleKeys', 504)
    send()
  }

  const send = (): void => {
    if (isDone || route === undefined || body === undefined || isWaitingForKey) return
    // Checked before every send: the request may have waited since the last check.
    const keyStatus = checkKey(context, request, route, account)
    if (keyStatus === 'unconfirmed') {
      confirmKey(route)
      return
    }
    if (keyStatus === 'revoked') return mayHaveRun ? giveUp('unknownKey', 502) : refuse({ status: 401, reason: 'unknownKey' })
    // Checked before every send, retries included: the shutdown may have begun while the request waited.
    if (!context.shutdownGate.passes(route, request, computeMaximumMs(route))) return mayHaveRun ? giveUp('shuttingDown', 502) : refuse(SHUTTING_DOWN)
    const remainingMs = deadlineAt() - clock.now()
    if (remainingMs <= 1) return giveUp('deadlineBeforeSend', 504)
    const chosen = selectNextInstance()
    if (chosen === undefined) return giveUpWithoutInstance()
    if (attemptsStarted === 0) recordStart()
    else if (!takeRetry()) return giveUp('instancesRefused', 502)
    startAttempt(chosen, remainingMs, route, body)
  }

  const recordStart = (): void => {
    context.retryWindows.recordFirstSend(service)
    reporter.reportStart()
  }

  const takeRetry = (): boolean => {
    const isGranted = context.retryWindows.takeRetry(service)
    record.countRetry(isGranted)
    return isGranted
  }

  const startAttempt = (chosen: SelectedInstance, remainingMs: number, to: GatewayRoute, content: Uint8Array): void => {
    const { instance, copyPromptFrom } = chosen
    record.recordStep('sent')
    const current = createSendAttempt(instance, clock.now())
    const intake = createAnswerIntake(request, caller, listenTo(current))
    activeAttempt = current
    tried.add(instance.id)
    loadView.recordStart(formatInstanceKey(instance))
    health.recordStart(instance)
    context.warmUp.recordSend(instance)
    context.directory.record(request.promptParts, formatInstanceKey(instance))
    if (copyPromptFrom !== undefined) metrics.count('gateway_prompt_copies')
    record.log(attemptsStarted++ === 0 ? 'request sent' : 'request sent again', {
      ...describeSend(context, request, chosen),
      remainingMs: Math.round(remainingMs),
      resumeAfter: caller.relay.lastEventId()
    })
    current.exchange = context.client.send(
      { request, body: content, instance, account: account?.name, remainingMs, priority: account?.priority ?? to.priority, resumeAfter: caller.relay.lastEventId(), copyPromptFrom: copyPromptFrom?.address },
      {
        maySend: () => notices.backoffRemainingMs(instance) === 0,
        onSent: () => {
          record.recordStep('connected')
          current.isSent = true
          if (activeAttempt === current) mayHaveRun = true
          if (activeAttempt === current) sends += 1
        },
        onHead: (answer) => { if (activeAttempt === current) handleHead(current, answer, intake) },
        onData: (bytes) => {
          if (activeAttempt !== current) return
          reporter.reportBody(current)
          intake.handleData(bytes, current.exchange)
        },
        onEnd: () => { if (activeAttempt === current) intake.handleEnd() },
        onFailure: (failure) => { if (activeAttempt === current) handleFailure(current, failure) }
      }
    )
  }

  const handleHead = (current: SendAttempt, answer: InstanceAnswer, intake: AnswerIntake): void => {
    reporter.reportHead(current, answer)
    record.recordStep('head')
    record.recordFirstByteTime(clock.now() - current.startedAt)
    intake.handleHead(answer)
  }

  /** The backend server states that it did not run the request, so the send does not count. */
  const handleNotRun = (current: SendAttempt, answer: InstanceAnswer): void => {
    abortAttempt()
    sends -= 1
    mayHaveRun = sends > 0
    refusals += 1
    record.countSend('refused')
    record.log('backend server refused', { backendServer: current.instance.id, status: answer.status, isOtherInstance: answer.isOtherInstance, backoffMs: answer.backoffMs, isLeaving: answer.isLeaving })
    if (answer.isOtherInstance) registry.markGone(current.instance, 'another backend server has its address')
    retryOr(() => giveUp('instancesRefused', 502))
  }

  /** The answer of the backend server is complete; `endAnswer` ends the caller's answer. */
  const completeWith = (current: SendAttempt, endAnswer: () => void, fields: LogFields = {}): void => {
    endAttempt(current)
    activeAttempt = undefined
    endAnswer()
    reporter.reportComplete()
    record.countSend('complete')
    finish('complete', { backendServer: current.instance.id, ...fields })
  }

  const listenTo = (current: SendAttempt): AnswerListener => ({
    onHead: (answer) => reporter.reportSuccess(current, answer),
    onNotRun: (answer) => handleNotRun(current, answer),
    onBroken: (message) => handleFailure(current, { kind: 'broken', message }),
    onReportedFailure: (answer, body) => handleReportedFailure(current, answer, body),
    onComplete: (answer, body) => completeWith(current, () => caller.sendComplete(answer, body), { status: answer.status }),
    onStreamEnd: () => {
      if (sends === 1) reporter.reportCompleteStream(current)
      completeWith(current, caller.end)
    }
  })

  const handleReportedFailure = (current: SendAttempt, answer: InstanceAnswer, answerBody: Uint8Array): void => {
    endAttempt(current)
    activeAttempt = undefined
    health.record(current.instance, { kind: 'errored' })
    record.countSend('errored')
    record.log('backend server failed', { backendServer: current.instance.id, status: answer.status })
    finalAnswer.keepReportedFailure({ answer, body: answerBody })
    retryOr(finalAnswer.finishWithReportedFailure)
  }

  const handleFailure = (current: SendAttempt, failure: ExchangeFailure): void => {
    abortAttempt()
    const { event, reason } = classifyFailure(failure)
    record.countSend(failure.kind)
    if (event !== undefined) health.record(current.instance, event)
    record.log('exchange failed', { backendServer: current.instance.id, kind: failure.kind, reason: failure.message, lastEventId: caller.relay.lastEventId() })
    retryOr(() => giveUp(reason, 502, describeReach(context)))
  }

  const moveToOtherInstance = (current: SendAttempt, now: number): void => {
    record.log('backend server silent', { backendServer: current.instance.id, silentMs: Math.round(now - current.lastBytesAt), lastEventId: caller.relay.lastEventId() })
    abortAttempt()
    record.countSend('silent')
    health.record(current.instance, { kind: 'unreachable' })
    send()
  }

  const check = (now: number): void => {
    if (isDone) return
    if (now >= deadlineAt()) return giveUp(mayHaveRun ? 'deadline' : 'deadlineBeforeSend', 504)
    const current = activeAttempt
    if (current === undefined || route === undefined || !current.isSent) return
    const isDue = isFailoverDue({
      hasBegun: caller.hasBegun(),
      waitedMs: now - current.lastBytesAt,
      instanceWaitedMs: health.readIdleMs(current.instance),
      firstByteTargetMs: route.latencyTargetMs,
      pauseTargetMs: route.eventGapTargetMs,
      usualFirstByteMs: context.firstByteTimes.readAverage(route.name)
    })
    if (!isDue) return
    if (isRetryable() && canRetry()) return moveToOtherInstance(current, now)
    reporter.reportUnresponsive(current)
  }

  return {
    assign: (to, owner) => {
      if (isDone) return
      route = to
      account = owner
      service = selectRouteTarget(to.targets, random.next()).service
      if (!context.shutdownGate.passes(to, request, computeMaximumMs(to))) return refuse(SHUTTING_DOWN)
      // The body may have arrived while the request waited for its route.
      send()
    },
    submit: (content) => {
      if (isDone) return
      record.recordStep('body')
      body = content
      send()
    },
    reject: refuse,
    cancel: () => {
      if (isDone) return
      abortAttempt()
      finish('callerLeft')
    },
    check
  }
}
