/**
 * Handles one request: waits for its body, sends it to a backend server, checks the
 * answer, retries where that is safe, and gives the caller exactly one final answer.
 * A refusal states "not run" only while no backend server may have run the request.
 */
import { checkKey, findHolder } from './checkKey.js'
import type { AttemptTarget } from './attemptTarget.js'
import { reportsFailure } from './classifyAnswer.js'
import { classifyFailure } from './classifyFailure.js'
import { SHUTTING_DOWN } from './createAdmissionGate.js'
import { createAnswerIntake, type AnswerIntake, type AnswerListener } from './createAnswerIntake.js'
import { createCallerAnswer } from './createCallerAnswer.js'
import { createCallerPresence } from './createCallerPresence.js'
import { createErrorContainment } from './createErrorContainment.js'
import { createFinalAnswer } from './createFinalAnswer.js'
import { createPathSelector, type OpenPath, type RoutedRequest } from './createPathSelector.js'
import { createRequestDeadline } from './createRequestDeadline.js'
import { createRequestRecord } from './createRequestRecord.js'
import { createRunningAttempts } from './createRunningAttempts.js'
import { createRetryRules } from './createRetryRules.js'
import { createSendGate } from './createSendGate.js'
import { createSendAttempt, type SendAttempt } from './createSendAttempt.js'
import { createSilenceWatch } from './createSilenceWatch.js'
import { createAttemptReporter } from './createAttemptReporter.js'
import { describeReach } from './describeReach.js'
import { prepareSend } from './prepareSend.js'
import { startExchange } from './startExchange.js'
import type { CallerSink, ExchangeFailure, GatewayAccount, GatewayRequest, GatewayRoute, InstanceAnswer, LogFields } from '../../../types/index.js'
import { selectService } from './selectService.js'
import type { RequestHandler, RequestHandlerContext } from './requestHandler.js'

/** How long a request with a key waits for the configuration to be confirmed, in milliseconds. */
const KEY_CONFIRM_WAIT_MS = 400

/** Creates the handler of one request; it sends nothing before `assign` and `submit`. */
export const createRequestHandler = (context: RequestHandlerContext, request: GatewayRequest, sink: CallerSink): RequestHandler => {
  const { clock, random } = context
  const paths = createPathSelector(context, request, () => caller.relay.lastEventId())
  let route: GatewayRoute | undefined
  let account: GatewayAccount | undefined
  let service = ''
  let body: Uint8Array | undefined
  let isDone = false
  let mayHaveRun = false
  let sends = 0
  let attemptsStarted = 0
  let refusals = 0
  let isWaitingForKey = false
  const presence = createCallerPresence(sink)
  const caller = createCallerAnswer(sink, request.lastEventId)
  const deadline = createRequestDeadline(clock, request, () => route)
  const record = createRequestRecord(context, request, () => route)
  const attempts = createRunningAttempts((attempt) => {
    recordAnswering(attempt)
    record.log('exchange resumed', { ...attempt.target.logFields, lastEventId: caller.relay.lastEventId() })
  })
  const reporter = createAttemptReporter(context, { request, readRoute: () => route, readService: () => service })

  const finalAnswer = createFinalAnswer({
    caller,
    record,
    random,
    readProgress: () => ({ mayHaveRun, sends }),
    readAvailability: () => ({ availableInMs: route === undefined ? 0 : paths.computeAvailableInMs(toRouted(route)), remainingMs: deadline.remainingMs() }),
    abortAttempt: attempts.abortAll,
    onDone: () => {
      isDone = true
      reporter.reportEnd()
      gate.end(attemptsStarted > 0)
      context.onDone()
    }
  })
  const { finish, refuse, giveUp } = finalAnswer

  const leave = (): void => {
    if (isDone) return
    attempts.abortAll()
    record.countLeft(sends > 0 ? 'sent' : 'unsent')
    finish('callerLeft')
  }

  const containment = createErrorContainment(context, {
    requestId: request.requestId,
    end: finalAnswer.failInternally,
    abandon: () => {
      if (isDone) return
      isDone = true
      context.onDone()
    }
  })
  const { guard } = containment

  // Asked before every send, retries included: the shutdown may have begun while the request waited.
  const passesShutdown = (to: GatewayRoute): boolean => context.shutdownGate.passes(to, request, deadline.computeMaximumMs(to, mayHaveRun))

  const gate = createSendGate(context, { request, record, paths, assignService: (next) => { service = next }, send: () => send(), passesShutdown, refuse, giveUp })

  const toRouted = (to: GatewayRoute): RoutedRequest => ({ route: to, account, service, bodyBytes: body?.length ?? 0 })

  const rules = createRetryRules(context, { request, caller, paths, gate, deadline, passesShutdown, readProgress: () => ({ mayHaveRun, sends, refusals }) })

  /** No backend server is eligible: waiting would not help, and the reason sets the Retry-After. */
  const giveUpWithoutInstance = (to: GatewayRoute): void => {
    const ineligibility = paths.findIneligibility(toRouted(to))
    if (ineligibility === undefined || ineligibility === 'open') return giveUp('noInstance', 502, describeReach(context))
    giveUp(ineligibility, 502, { zoneDrainRevision: context.zoneDrains.revision(), configurationVersion: context.configuration.version(), softwareVersion: paths.requiredVersion() })
  }

  /** An attempt has failed: the request returns to the target that it was leaving, or is sent again. */
  const retryOr = (otherwise: () => void): void => {
    if (attempts.restore()) return
    if (route === undefined || !rules.canRetry(toRouted(route))) return otherwise()
    send()
  }

  const confirmKey = async (to: GatewayRoute): Promise<void> => {
    isWaitingForKey = true
    await context.configuration.confirm(KEY_CONFIRM_WAIT_MS)
    isWaitingForKey = false
    if (isDone) return
    guard(() => {
      if (checkKey(context, request, to, account) === 'unconfirmed') return giveUp('staleKeys', 504)
      send()
    })()
  }

  const send = guard((): void => {
    if (isDone || route === undefined || body === undefined || isWaitingForKey) return
    if (presence.hasLeft()) return leave()
    // Checked before every send: the request may have waited since the last check.
    const keyStatus = checkKey(context, request, route, account)
    if (keyStatus === 'unconfirmed') {
      confirmKey(route)
      return
    }
    if (keyStatus === 'revoked') return mayHaveRun ? giveUp('unknownKey', 502) : refuse({ status: 401, reason: 'unknownKey' })
    account = findHolder(context, request, route, account)
    if (!passesShutdown(route)) return mayHaveRun ? giveUp('shuttingDown', 502) : refuse(SHUTTING_DOWN)
    if (deadline.remainingMs() <= 1) return giveUp('deadlineBeforeSend', 504)
    if (!gate.passesQuarantine(service)) return
    if (attemptsStarted === 0 && !gate.passes(toRouted(route), deadline.at())) return
    const path = paths.select(toRouted(route))
    if (path.kind === 'none') return giveUpWithoutInstance(route)
    if (attemptsStarted === 0) recordStart()
    else if (paths.hasArrived() && !takeRetry()) return giveUp('instancesRefused', 502)
    sendOn(route, path, body)
  })

  const sendOn = (to: GatewayRoute, path: OpenPath, content: Uint8Array): void => {
    const { target, event, fields } = prepareSend(context, path, {
      request, route: to, account, service, body: content, remainingMs: deadline.remainingMs(), resumeAfter: caller.relay.lastEventId(), arrived: paths.listArrived(), softwareVersion: paths.requiredVersion(), isFirst: attemptsStarted === 0, isRetry: attemptsStarted > 0 && paths.hasArrived()
    })
    record.log(event, fields)
    startAttempt(target)
  }

  /** The caller's answer comes from this attempt. Of the servers that got a stream before its first event, the one that answers has begun it. */
  const recordAnswering = ({ target, server, softwareVersion }: SendAttempt): void => {
    if (server === undefined || softwareVersion === undefined) return
    paths.recordAnswer(server, softwareVersion)
    const beginsStream = route?.retryPolicy === 'stream' && (caller.relay.lastEventId() ?? 0) === 0 && request.relay === undefined
    if (beginsStream && (attemptsStarted > 1 || target.kind === 'peer')) context.streamVersions.recordBegin(service, { requestId: request.requestId, softwareVersion })
  }

  const recordStart = (): void => {
    // The node of the caller counts the request.
    if (request.relay === undefined) context.retryWindows.recordFirstSend(service)
    reporter.reportStart()
  }

  const takeRetry = (): boolean => {
    const isGranted = request.relay === undefined && context.retryWindows.takeRetry(service)
    record.countRetry(isGranted)
    return isGranted
  }

  const startAttempt = (target: AttemptTarget): void => {
    record.recordStep('sent')
    attemptsStarted += 1
    const current = createSendAttempt(target, clock.now())
    const intake = createAnswerIntake(request, caller, listenTo(current))
    attempts.begin(current)
    paths.recordAttempt(target)
    target.recordStart()
    startExchange(current, {
      maySend: (readAgeMs) => presence.maySend(readAgeMs) && target.maySend(),
      onSent: () => {
        current.sentAt = clock.now()
        if (attempts.active() !== current) return record.recordStep('connected')
        mayHaveRun = true
        sends += 1
        record.recordStep('connected')
        paths.recordArrival(target)
      },
      onHead: (answer) => { if (attempts.isRunning(current)) handleHead(current, answer, intake) },
      onData: (bytes) => {
        if (!attempts.claim(current)) return
        reporter.reportBody(current)
        if (route?.retryPolicy === 'stream') paths.recordStreamBytes(service)
        intake.handleData(bytes, current.exchange)
      },
      onEnd: () => { if (attempts.claim(current)) intake.handleEnd() },
      onFailure: (failure) => handleFailure(current, failure)
    }, containment)
  }

  const handleHead = (current: SendAttempt, answer: InstanceAnswer, intake: AnswerIntake): void => {
    reporter.reportHead(current, answer)
    record.recordStep('head')
    record.recordFirstByteTime(clock.now() - current.startedAt)
    current.server ??= answer.servedBy
    current.softwareVersion ??= paths.recordServer(answer)
    intake.handleHead(current.target.kind === 'peer' ? answer : { ...answer, servedBy: current.target.id, servedByVersion: current.target.softwareVersion })
  }

  /** The target states that the request was not run, so the send does not count. */
  const handleNotRun = (current: SendAttempt, answer: InstanceAnswer): void => {
    const { target } = current
    const givenUp = attempts.giveUp(current)
    sends -= 1
    mayHaveRun = sends > 0
    paths.recordRefusal(target, answer)
    target.recordRefusal(answer)
    record.countSend('refused')
    record.log(target.kind === 'peer' ? 'peer refused' : 'backend server refused', { ...target.logFields, status: answer.status, reason: answer.relayRefusal, isOtherInstance: answer.isOtherInstance, backoffMs: answer.backoffMs, isLeaving: answer.isLeaving })
    // A peer that could not send the request to any server says nothing about how full the service is.
    const hasReachedServer = target.kind === 'backendServer' || answer.relayRefusal === 'instancesRefused'
    if (hasReachedServer) refusals += 1
    if (givenUp?.wasActive === true) retryOr(() => giveUp(answer.relayRefusal ?? 'instancesRefused', 502, describeReach(context)))
  }

  /** The answer of the backend server is complete; `endAnswer` ends the caller's answer. */
  const completeWith = (current: SendAttempt, status: number, endAnswer: () => void): void => {
    attempts.endActive()
    attempts.releaseAside()
    current.target.recordComplete()
    endAnswer()
    reporter.reportComplete()
    record.countSend('complete')
    finish('complete', { ...current.target.logFields, status })
  }

  const listenTo = (current: SendAttempt): AnswerListener => ({
    onHead: (answer) => {
      if (!reportsFailure(answer)) attempts.settleOn(current)
      else if (attempts.isAside(current)) return recordReportedFailure(current, answer)
      recordAnswering(current)
      reporter.reportSuccess(current, answer)
    },
    onNotRun: (answer) => handleNotRun(current, answer),
    onBroken: (message) => handleFailure(current, { kind: 'broken', message }),
    onReportedFailure: (answer, body) => handleReportedFailure(current, answer, body),
    onComplete: (answer, body) => completeWith(current, answer.status, () => caller.sendComplete(answer, body)),
    onStreamEnd: ({ status }) => {
      if (sends === 1) reporter.reportCompleteStream(current)
      completeWith(current, status, caller.end)
    }
  })

  const handleReportedFailure = (current: SendAttempt, answer: InstanceAnswer, answerBody: Uint8Array): void => {
    attempts.endActive()
    recordReportedFailure(current, answer)
    finalAnswer.keepReportedFailure({ answer, body: answerBody })
    retryOr(finalAnswer.finishWithReportedFailure)
  }

  /** A target that the request is leaving is left for good; the other one goes on. */
  const recordReportedFailure = (current: SendAttempt, answer: InstanceAnswer): void => {
    attempts.giveUp(current)
    current.target.recordFailure('errored')
    record.countSend('errored')
    record.log('backend server failed', { ...current.target.logFields, status: answer.status })
  }

  const handleFailure = (current: SendAttempt, failure: ExchangeFailure): void => {
    const givenUp = attempts.giveUp(current)
    if (givenUp === undefined) return
    if (presence.hasLeft()) return leave()
    const { failure: targetFailure, reason } = classifyFailure(failure)
    record.countSend(failure.kind)
    if (failure.kind === 'notSent') paths.recordUnreached(current.target)
    if (presence.takePostponed()) paths.forgetAttempt(current.target)
    if (targetFailure !== undefined) current.target.recordFailure(targetFailure)
    record.log('exchange failed', { ...current.target.logFields, kind: failure.kind, reason: failure.message, lastEventId: caller.relay.lastEventId() })
    if (givenUp.wasActive) retryOr(() => giveUp(reason, 502, describeReach(context)))
  }

  /** The retry is taken first: without it the exchange goes on. */
  const moveTo = (current: SendAttempt, { route: to }: RoutedRequest, path: OpenPath, fields: LogFields): void => {
    if (body === undefined || !takeRetry()) return
    record.log('backend server silent', fields)
    attempts.setAside()
    paths.recordUnreached(current.target)
    record.countSend('silent')
    sendOn(to, path, body)
  }

  const silence = createSilenceWatch(context, { caller, record, reporter, rules, move: moveTo })

  const check = (now: number): void => {
    if (isDone) return
    if (presence.hasLeft()) return leave()
    if (now >= deadline.at()) return giveUp(mayHaveRun ? 'deadline' : 'deadlineBeforeSend', 504)
    gate.check()
    attempts.check(now)
    const current = attempts.active()
    if (current === undefined || route === undefined || current.sentAt === undefined) return
    if (caller.isPaused()) current.lastBytesAt = now
    silence.check(current, toRouted(route), now)
  }

  return {
    assign: guard((to: GatewayRoute, owner: GatewayAccount | undefined) => {
      if (isDone) return
      route = to
      account = owner
      service = selectService(to, request, random)
      if (!passesShutdown(to)) return refuse(SHUTTING_DOWN)
      // The body may have arrived while the request waited for its route.
      send()
    }),
    submit: guard((content: Uint8Array) => {
      if (isDone) return
      record.recordStep('body')
      body = content
      send()
    }),
    reject: guard(refuse),
    cancel: guard(leave),
    check: guard(check),
    expire: guard((keepsBegun: boolean) => { if (!keepsBegun || !caller.hasBegun()) giveUp('shuttingDown', 502) }),
    describe: () => ({ requestId: request.requestId, route: route?.name, receivedAt: request.receivedAt, target: attempts.active()?.target.id, lastBytesAt: attempts.active()?.lastBytesAt })
  }
}
