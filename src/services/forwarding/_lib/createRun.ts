/**
 * Handles one request: waits for its body, sends it to a backend server, checks the
 * answer, retries where that is safe, and gives the caller exactly one final answer.
 * A refusal states "not run" only while no backend server may have run the request.
 */
import { checkKey } from './checkKey.js'
import { chooseInstance, findBarrier, type Choice, type ChosenInstance } from './chooseInstance.js'
import { createAnswerIntake, type AnswerIntake, type AnswerListener } from './createAnswerIntake.js'
import { createCallerAnswer } from './createCallerAnswer.js'
import { createEnding } from './createEnding.js'
import { createRunRecord } from './createRunRecord.js'
import { createSending, type Sending } from './createSending.js'
import { createSendingNotes } from './createSendingNotes.js'
import { describeSend } from './describeSend.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import { isFailoverDue } from '../../../decisions/isFailoverDue/index.js'
import { selectTarget } from '../../../decisions/selectTarget/index.js'
import type {
  CallerSink, ExchangeFailure, GatewayAccount, GatewayRefusal, GatewayRequest, GatewayRoute, InstanceAnswer, LogFields
} from '../../../types/index.js'
import type { Run, RunContext } from './run.js'

/** How long a request with a key waits for the configuration to be confirmed, in milliseconds. */
const KEY_CONFIRM_WAIT_MS = 400
/** Refusals by backend servers after which the request itself is refused, whatever the retry budget: the service is full. */
const REFUSALS_AT_MOST = 3
/** The delay is short because a new connection reaches another node. */
const STOPPING: GatewayRefusal = { status: 503, reason: 'shuttingDown', retryAfterMs: 20 }

/** Creates the handler of one request; it sends nothing before `assign` and `submit`. */
export const createRun = (context: RunContext, request: GatewayRequest, sink: CallerSink): Run => {
  const { clock, random, metrics, registry, health, loadView } = context
  const tried = new Set<string>()
  let route: GatewayRoute | undefined
  let account: GatewayAccount | undefined
  let service = ''
  let body: Uint8Array | undefined
  let sending: Sending | undefined
  let isDone = false
  let mayHaveRun = false
  let sends = 0
  let sendsBegun = 0
  let refusals = 0
  let isWaitingForKey = false
  const caller = createCallerAnswer(sink, request.lastEventId)
  const record = createRunRecord(context, request, () => route)
  const notes = createSendingNotes(context, { request, readRoute: () => route, readService: () => service })

  const deadlineAt = (): number =>
    request.receivedAt + Math.min(request.callerTimeoutMs ?? Infinity, route?.timeoutMs ?? Infinity)

  /** The longest time that the request may still take, in milliseconds. A non-streaming request that no server received yet counts with its full time-out. */
  const longestMs = (to: GatewayRoute): number =>
    mayHaveRun || to.retryPolicy === 'stream' ? deadlineAt() - clock.now() : to.timeoutMs

  const dropSending = (): void => {
    const current = sending
    if (current === undefined) return
    sending = undefined
    endSending(current)
    current.exchange?.abort()
  }

  const endSending = (current: Sending): void => {
    if (current.isOver) return
    current.isOver = true
    loadView.recordEnd(formatInstanceKey(current.instance))
    health.ended(current.instance)
  }

  const ending = createEnding({
    caller,
    record,
    random,
    readProgress: () => ({ mayHaveRun, sends }),
    dropSending,
    onDone: () => {
      isDone = true
      notes.over()
      context.onDone()
    }
  })
  const { finish, refuse, giveUp } = ending

  const isRepeatable = (): boolean => route !== undefined && (route.retryPolicy === 'safe' || (route.retryPolicy === 'stream' && route.isResumable))

  const canSendAgain = (): boolean => {
    if (route === undefined || clock.now() >= deadlineAt()) return false
    if (mayHaveRun && (!isRepeatable() || sends >= route.maximumAttempts)) return false
    return refusals < REFUSALS_AT_MOST && context.budgets.canSpend(service) && findInstance() !== undefined
  }

  const readChoice = (): Choice => ({ request, service, bodyBytes: body?.length ?? 0, tried, allowedRegions: [route?.allowedRegions ?? [], account?.allowedRegions ?? []] })

  const findInstance = (): ChosenInstance | undefined => route === undefined ? undefined : chooseInstance(context, readChoice())

  /** No backend server is eligible: waiting would not help, and the reason sets the Retry-After. */
  const giveUpUnplaced = (): void => {
    const barrier = findBarrier(context, readChoice())
    if (barrier === undefined || barrier === 'open') return giveUp('noInstance', 502)
    giveUp(barrier, 502, { zoneDrainRevision: context.zoneDrains.revision(), configurationVersion: context.configuration.version() })
  }

  const repeatOr = (otherwise: () => void): void => {
    if (!canSendAgain()) return otherwise()
    send()
  }

  const confirmKey = async (to: GatewayRoute): Promise<void> => {
    isWaitingForKey = true
    await context.configuration.confirm(KEY_CONFIRM_WAIT_MS)
    isWaitingForKey = false
    if (isDone) return
    if (checkKey(context, request, to, account) === 'unproved') return giveUp('staleKeys', 504)
    send()
  }

  const send = (): void => {
    if (isDone || route === undefined || body === undefined || isWaitingForKey) return
    // Checked before every send: the request may have waited since the last check.
    const verdict = checkKey(context, request, route, account)
    if (verdict === 'unproved') {
      confirmKey(route)
      return
    }
    if (verdict === 'takenAway') return mayHaveRun ? giveUp('unknownKey', 502) : refuse({ status: 401, reason: 'unknownKey' })
    // Checked before every send, retries included: the shutdown may have begun while the request waited.
    if (!context.stopGate.passes(route, request, longestMs(route))) return mayHaveRun ? giveUp('shuttingDown', 502) : refuse(STOPPING)
    const remainingMs = deadlineAt() - clock.now()
    if (remainingMs <= 1) return giveUp('deadlineBeforeSend', 504)
    const chosen = findInstance()
    if (chosen === undefined) return giveUpUnplaced()
    if (sendsBegun === 0) noteBegun()
    else if (!spendRepeat()) return giveUp('instancesRefused', 502)
    startSending(chosen, remainingMs, route, body)
  }

  const noteBegun = (): void => {
    context.budgets.noteFirst(service)
    notes.begun()
  }

  const spendRepeat = (): boolean => {
    const isGranted = context.budgets.spend(service)
    record.countRepeat(isGranted)
    return isGranted
  }

  const startSending = (chosen: ChosenInstance, remainingMs: number, to: GatewayRoute, content: Uint8Array): void => {
    const { instance, copyPromptFrom } = chosen
    record.reach('sent')
    const current = createSending(instance, clock.now())
    const intake = createAnswerIntake(request, caller, listenTo(current))
    sending = current
    tried.add(instance.id)
    loadView.recordStart(formatInstanceKey(instance))
    health.began(instance)
    context.warmUp.noteSend(instance)
    context.directory.record(request.promptParts, formatInstanceKey(instance))
    if (copyPromptFrom !== undefined) metrics.count('gateway_prompt_copies')
    record.log(sendsBegun++ === 0 ? 'request sent' : 'request sent again', {
      ...describeSend(context, request, chosen),
      remainingMs: Math.round(remainingMs),
      resumeAfter: caller.relay.lastEventId()
    })
    current.exchange = context.client.send(
      { request, body: content, instance, account: account?.name, remainingMs, priority: account?.priority ?? to.priority, resumeAfter: caller.relay.lastEventId(), copyPromptFrom: copyPromptFrom?.address },
      {
        onSent: () => {
          record.reach('connected')
          current.isSent = true
          if (sending === current) mayHaveRun = true
          if (sending === current) sends += 1
        },
        onHead: (answer) => { if (sending === current) takeHead(current, answer, intake) },
        onData: (bytes) => {
          if (sending !== current) return
          notes.body(current)
          intake.takeData(bytes, current.exchange)
        },
        onEnd: () => { if (sending === current) intake.takeEnd() },
        onFailure: (failure) => { if (sending === current) takeFailure(current, failure) }
      }
    )
  }

  const takeHead = (current: Sending, answer: InstanceAnswer, intake: AnswerIntake): void => {
    notes.head(current, answer)
    record.reach('head')
    record.noteFirstBytes(clock.now() - current.startedAt)
    intake.takeHead(answer)
  }

  /** The backend server states that it did not run the request, so the send does not count. */
  const takeNotRun = (current: Sending, answer: InstanceAnswer): void => {
    dropSending()
    sends -= 1
    mayHaveRun = sends > 0
    refusals += 1
    record.countSend('refused')
    record.log('backend server refused', { backendServer: current.instance.id, status: answer.status, isOtherInstance: answer.isOtherInstance })
    if (answer.isOtherInstance) registry.markGone(current.instance, 'another backend server has its address')
    repeatOr(() => giveUp('instancesRefused', 502))
  }

  /** The answer of the backend server is complete; `tell` ends the caller's answer. */
  const endWell = (current: Sending, tell: () => void, fields: LogFields = {}): void => {
    endSending(current)
    sending = undefined
    tell()
    notes.complete()
    record.countSend('complete')
    finish('complete', { backendServer: current.instance.id, ...fields })
  }

  const listenTo = (current: Sending): AnswerListener => ({
    onHead: (answer) => notes.success(current, answer),
    onNotRun: (answer) => takeNotRun(current, answer),
    onBroken: (message) => takeFailure(current, { kind: 'broken', message }),
    onStatedFailure: (answer, body) => takeStatedFailure(current, answer, body),
    onWhole: (answer, body) => endWell(current, () => caller.whole(answer, body), { status: answer.status }),
    onPassed: () => {
      if (sends === 1) notes.wholeStream(current)
      endWell(current, caller.end)
    }
  })

  const takeStatedFailure = (current: Sending, answer: InstanceAnswer, whole: Uint8Array): void => {
    endSending(current)
    sending = undefined
    health.record(current.instance, { kind: 'errored' })
    record.countSend('errored')
    record.log('backend server failed', { backendServer: current.instance.id, status: answer.status })
    ending.noteStatedFailure({ answer, body: whole })
    repeatOr(ending.finishStated)
  }

  const takeFailure = (current: Sending, failure: ExchangeFailure): void => {
    dropSending()
    const isNotSent = failure.kind === 'notSent'
    record.countSend(failure.kind)
    health.record(current.instance, isNotSent ? { kind: 'unreachable' } : { kind: 'broken' })
    record.log('exchange failed', { backendServer: current.instance.id, kind: failure.kind, reason: failure.message, lastEventId: caller.relay.lastEventId() })
    repeatOr(() => giveUp(isNotSent ? 'noInstance' : 'answerBroken', 502))
  }

  const move = (current: Sending, now: number): void => {
    record.log('backend server silent', { backendServer: current.instance.id, silentMs: Math.round(now - current.lastBytesAt), lastEventId: caller.relay.lastEventId() })
    dropSending()
    record.countSend('silent')
    health.record(current.instance, { kind: 'unreachable' })
    send()
  }

  const check = (now: number): void => {
    if (isDone) return
    if (now >= deadlineAt()) return giveUp(mayHaveRun ? 'deadline' : 'deadlineBeforeSend', 504)
    const current = sending
    if (current === undefined || route === undefined || !current.isSent) return
    const isDue = isFailoverDue({
      hasBegun: caller.hasBegun(),
      waitedMs: now - current.lastBytesAt,
      instanceWaitedMs: health.silentMs(current.instance),
      firstByteTargetMs: route.latencyTargetMs,
      pauseTargetMs: route.eventGapTargetMs,
      usualFirstByteMs: context.usualTimes.usual(route.name)
    })
    if (!isDue) return
    if (isRepeatable() && canSendAgain()) return move(current, now)
    notes.silence(current)
  }

  return {
    assign: (to, holder) => {
      if (isDone) return
      route = to
      account = holder
      service = selectTarget(to.targets, random.next()).service
      if (!context.stopGate.passes(to, request, longestMs(to))) return refuse(STOPPING)
      // The body may have arrived while the request waited for its route.
      send()
    },
    submit: (content) => {
      if (isDone) return
      record.reach('body')
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
