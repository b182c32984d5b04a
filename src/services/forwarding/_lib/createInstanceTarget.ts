/** A backend server as the target of an attempt. */
import type { AttemptTarget } from './attemptTarget.js'
import { isAnswerTo } from './classifyAnswer.js'
import type { RequestHandlerContext } from './requestHandler.js'
import { listSharedParts } from '../../../decisions/listSharedParts/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import { readSoftwareVersion } from '../../../decisions/readSoftwareVersion/index.js'
import type { PromptRead } from '../../promptDirectory/index.js'
import { countSentTokens } from '../../serverWork/index.js'
import type { SentWork } from '../../serverWork/index.js'
import type { SendDecision } from '../../refusalLimiter/index.js'
import type { GatewayAttempt, GatewayRoute, InstanceAnswer, LogFields } from '../../../types/index.js'

/** A server that has another's address refuses for that reason, however much room it has. */
const isRefusedForRoom = ({ isNotRun, isOtherInstance }: InstanceAnswer): boolean => isNotRun && !isOtherInstance

/** The head of a stream arrives with its first token, when the prompt has been read. */
const isSuccess = ({ status, isNotRun }: InstanceAnswer): boolean => !isNotRun && status >= 200 && status < 300

/** What the server itself states of its load, all nodes included, at the time of its answer. */
const describeStatedLoad = (head: InstanceAnswer | undefined): LogFields =>
  head?.load === undefined ? {} : { statedRunning: head.load.running, statedWaiting: head.load.waiting }

/** An answer that has been written for this long, in milliseconds, is in order as far as its prompt is concerned. */
const SOUND_WRITING_MS = 500

/** Creates the target of one attempt. */
export const createInstanceTarget = (context: RequestHandlerContext, route: GatewayRoute, attempt: GatewayAttempt): AttemptTarget => {
  const { clock, loadView, health, notices, registry, warmUp, refusals, directory, firstByteTimes, configuration, work, streamVersions, serverEnds, quarantine, client } = context
  const { instance, request } = attempt
  const key = formatInstanceKey(instance)
  const softwareVersion = readSoftwareVersion(instance)
  const sharedParts = listSharedParts(request.promptParts)
  const partIds = sharedParts.map(({ id }) => id)
  /** Otherwise it goes on after an event that the caller has; a stream that a peer relays is recorded there, as only the peer knows which answer its caller gets. */
  const beginsStream = route.retryPolicy === 'stream' && (attempt.resumeAfter ?? 0) === 0 && request.relay === undefined
  const isModelEngine = configuration.current()?.services.get(instance.service)?.engine !== undefined
  let read: PromptRead | undefined
  let decideSend: ((decision: SendDecision) => void) | undefined
  let sentWork: SentWork | undefined
  let head: InstanceAnswer | undefined
  /** Monotonic milliseconds at which the server began to write a successful answer, and at which that was last recorded as in order. */
  let beganAt: number | undefined
  let soundAt: number | undefined

  /** Tokens of the prompt that the server has, or gets from the server with the longest prefix. */
  const countCachedTokens = (): number => {
    const cachedTokensByKey = directory.listCachedTokens(sharedParts)
    return attempt.copyPromptFrom === undefined ? cachedTokensByKey.get(key) ?? 0 : Math.max(0, ...cachedTokensByKey.values())
  }

  /** A server that ends under a prompt does so when it begins to write: one that goes on writing shows that the prompt is sound. */
  const recordSoundBytes = (): void => {
    if (partIds.length === 0 || head === undefined || !isSuccess(head)) return
    const now = clock.now()
    beganAt ??= now
    if (now - (soundAt ?? beganAt) < SOUND_WRITING_MS) return
    soundAt = now
    quarantine.recordSound(instance.service, partIds)
  }

  /** Records once whether the server has accepted the request. */
  const decide = (decision: SendDecision): void => {
    decideSend?.(decision)
    decideSend = undefined
  }

  return {
    kind: 'backendServer',
    id: instance.id,
    softwareVersion,
    get logFields () { return { backendServer: instance.id, ...describeStatedLoad(head) } },
    recordStart: () => {
      loadView.recordStart(key)
      health.recordStart(instance)
      warmUp.recordSend(instance)
      decideSend = refusals.recordSend(instance)
      if (beginsStream) streamVersions.recordBegin(instance.service, { requestId: request.requestId, softwareVersion })
      sentWork = work.recordSend(instance, countSentTokens(request, countCachedTokens()))
      if (isModelEngine) read = directory.beginRead(request.promptParts, key)
      else directory.record(request.promptParts, key)
    },
    recordEnd: () => {
      decide('unknown')
      sentWork?.recordEnd()
      read?.abandon()
      loadView.recordEnd(key)
      health.recordEnd(instance)
    },
    recordBytes: () => {
      health.recordBytes(instance)
      serverEnds.recordBytes(instance)
      if (head !== undefined) sentWork?.recordFirstBytes(head.isEventStream)
      recordSoundBytes()
    },
    recordHead: (answer) => {
      // An answer to another request of this server still tells what the server wants; one without an id may be anyone's.
      if (answer.requestId !== undefined && !answer.isOtherInstance) notices.record(instance, answer)
      if (!isAnswerTo(request, answer)) return
      head = answer
      decide(isRefusedForRoom(answer) ? 'refused' : 'accepted')
      if (isSuccess(answer)) read?.complete()
      if (answer.load !== undefined && !answer.isOtherInstance) work.recordLoad(instance, answer.load)
      if (answer.load !== undefined) loadView.applyReport(key, { ...answer.load, leaving: false, ageMs: 0 })
    },
    recordSuccess: (firstByteMs) => health.record(instance, { kind: 'answered', slowness: firstByteTimes.recordAndCompare(route.name, firstByteMs) }),
    recordComplete: () => { if (head !== undefined && isSuccess(head)) quarantine.recordComplete(instance.service, partIds) },
    recordFailure: (kind) => {
      health.record(instance, { kind })
      if (kind === 'broken' && partIds.length > 0) serverEnds.recordBreak(instance, soundAt === undefined ? partIds : [])
      if (kind === 'unreachable') serverEnds.recordUnreachable(instance)
    },
    recordRefusal: (answer) => { if (answer.isOtherInstance) registry.markGone(instance, 'another backend server has its address') },
    readIdleMs: () => health.readIdleMs(instance),
    describeSilence: () => ({ instanceWaitedMs: health.readIdleMs(instance), isModelEngine }),
    maySend: () => notices.backoffRemainingMs(instance) === 0,
    send: (listener) => client.send(attempt, listener)
  }
}
