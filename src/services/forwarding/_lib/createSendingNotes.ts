/** Reports what the attempts of one request show of backend servers: that one responds, how fast it is, that it does not respond. */
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import type { GatewayRequest, GatewayRoute, InstanceAnswer } from '../../../types/index.js'
import type { Sending } from './createSending.js'
import type { StreamDuration } from './createStreamDurations.js'
import type { RunContext } from './run.js'

export type SendingNotes = {
  /** The first attempt of the request starts. */
  readonly begun: () => void
  readonly head: (current: Sending, answer: InstanceAnswer) => void
  /** Bytes of the answer's body arrived. */
  readonly body: (current: Sending) => void
  readonly success: (current: Sending, answer: InstanceAnswer) => void
  /** A stream from a single backend server has ended. */
  readonly wholeStream: (current: Sending) => void
  readonly silence: (current: Sending) => void
  /** The caller has the complete answer. */
  readonly complete: () => void
  /** The request has its final answer, successful or not. */
  readonly over: () => void
}

export type SendingNotesOptions = {
  readonly request: Pick<GatewayRequest, 'tokens' | 'receivedAt'>
  readonly readRoute: () => GatewayRoute | undefined
  readonly readService: () => string
}

/** Creates the reporter of one request. */
export const createSendingNotes = (context: RunContext, { request, readRoute, readService }: SendingNotesOptions): SendingNotes => {
  const { clock, health, loadView, tokenPace, usualTimes } = context

  let duration: StreamDuration | undefined

  const heard = (current: Sending): void => {
    current.lastBytesAt = clock.now()
    health.heard(current.instance)
  }

  return {
    begun: () => {
      const route = readRoute()
      if (route?.retryPolicy === 'stream') duration = context.streamDurations.begin(route.name, request.receivedAt)
    },
    head: (current, answer) => {
      heard(current)
      if (answer.load !== undefined) loadView.applyReport(formatInstanceKey(current.instance), { ...answer.load, leaving: false, ageMs: 0 })
    },
    body: (current) => {
      heard(current)
      current.firstBytesAt ??= current.lastBytesAt
    },
    success: (current, answer) => {
      if (answer.status < 200 || answer.status >= 300) return
      const slowness = usualTimes.compare(readRoute()?.name ?? '', clock.now() - current.startedAt)
      health.record(current.instance, { kind: 'answered', slowness })
    },
    wholeStream: (current) => {
      if (readRoute()?.retryPolicy !== 'stream' || current.firstBytesAt === undefined) return
      tokenPace.note(readService(), request.tokens.output, clock.now() - current.firstBytesAt)
    },
    /** A request that can't be moved still reports a server that sends nothing on any exchange of this node. */
    silence: (current) => {
      if (current.isSilenceNoted || health.silentMs(current.instance) < clock.now() - current.lastBytesAt) return
      current.isSilenceNoted = true
      health.record(current.instance, { kind: 'unreachable' })
    },
    complete: () => {
      duration?.end(clock.now())
      duration = undefined
    },
    over: () => duration?.forget()
  }
}
