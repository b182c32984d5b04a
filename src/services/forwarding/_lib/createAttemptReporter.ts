/** Reports what the attempts of one request show about their targets: whether each responds, how fast it is, and its load. */
import type { GatewayRequest, GatewayRoute, InstanceAnswer } from '../../../types/index.js'
import type { SendAttempt } from './createSendAttempt.js'
import type { StreamDuration } from './createStreamDurations.js'
import type { RequestHandlerContext } from './requestHandler.js'

export type AttemptReporter = {
  /** The first attempt of the request starts. */
  readonly reportStart: () => void
  readonly reportHead: (current: SendAttempt, answer: InstanceAnswer) => void
  /** Bytes of the answer's body arrived. */
  readonly reportBody: (current: SendAttempt) => void
  readonly reportSuccess: (current: SendAttempt, answer: InstanceAnswer) => void
  /** A stream from a single backend server has ended. */
  readonly reportCompleteStream: (current: SendAttempt) => void
  /** The target sends nothing for this request; recorded once, and only if it sends nothing on any exchange of this node. */
  readonly reportUnresponsive: (current: SendAttempt) => void
  /** The request leaves a target that sends nothing. */
  readonly reportLeft: (current: SendAttempt) => void
  /** The caller has the complete answer. */
  readonly reportComplete: () => void
  /** The request has its final answer, successful or not. */
  readonly reportEnd: () => void
}

export type AttemptReporterOptions = {
  readonly request: Pick<GatewayRequest, 'tokens' | 'receivedAt'>
  readonly readRoute: () => GatewayRoute | undefined
  readonly readService: () => string
}

/** Creates the reporter of one request. */
export const createAttemptReporter = (context: RequestHandlerContext, { request, readRoute, readService }: AttemptReporterOptions): AttemptReporter => {
  const { clock, tokenPace } = context

  let duration: StreamDuration | undefined

  const recordBytes = (current: SendAttempt): void => {
    current.lastBytesAt = clock.now()
    current.target.recordBytes()
  }

  const recordSilence = (current: SendAttempt): void => {
    if (current.isUnresponsiveReported) return
    current.isUnresponsiveReported = true
    current.target.recordFailure('silent')
  }

  return {
    reportStart: () => {
      const route = readRoute()
      if (route?.retryPolicy === 'stream') duration = context.streamDurations.begin(route.name, request.receivedAt)
    },
    reportHead: (current, answer) => {
      recordBytes(current)
      current.target.recordHead(answer)
    },
    reportBody: (current) => {
      recordBytes(current)
      current.firstBytesAt ??= current.lastBytesAt
    },
    reportSuccess: (current, answer) => {
      if (answer.status < 200 || answer.status >= 300) return
      current.target.recordSuccess(clock.now() - current.startedAt)
    },
    reportCompleteStream: (current) => {
      if (readRoute()?.retryPolicy !== 'stream' || current.firstBytesAt === undefined) return
      tokenPace.record(readService(), request.tokens.output, clock.now() - current.firstBytesAt)
    },
    reportUnresponsive: (current) => {
      if (current.target.readIdleMs() >= clock.now() - current.lastBytesAt) recordSilence(current)
    },
    reportLeft: recordSilence,
    reportComplete: () => {
      duration?.end(clock.now())
      duration = undefined
    },
    reportEnd: () => duration?.forget()
  }
}
