/** What a send of a request tells of its backend server: that it is heard, how fast it is, that it is silent. */
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import type { GatewayRequest, GatewayRoute, InstanceAnswer } from '../../../types/index.js'
import type { Sending } from './createSending.js'
import type { StreamDuration } from './createStreamDurations.js'
import type { RunContext } from './run.js'

export type SendingNotes = {
  /** The first send of the request. */
  readonly begun: () => void
  readonly head: (current: Sending, answer: InstanceAnswer) => void
  /** Bytes of the answer's body. */
  readonly body: (current: Sending) => void
  readonly success: (current: Sending, answer: InstanceAnswer) => void
  /** The last bytes of a stream that came from one backend server alone. */
  readonly wholeStream: (current: Sending) => void
  readonly silence: (current: Sending) => void
  /** The caller has the whole answer. */
  readonly complete: () => void
  /** The request has its final answer, whatever it is. */
  readonly over: () => void
}

export type SendingNotesOptions = {
  readonly request: Pick<GatewayRequest, 'tokens' | 'receivedAt'>
  readonly readRoute: () => GatewayRoute | undefined
  readonly readService: () => string
}

/** Creates the notes of one request. */
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
      if (route?.repeatPolicy === 'stream') duration = context.streamDurations.begin(route.name, request.receivedAt)
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
      if (readRoute()?.repeatPolicy !== 'stream' || current.firstBytesAt === undefined) return
      tokenPace.note(readService(), request.tokens.output, clock.now() - current.firstBytesAt)
    },
    /** A request that has to wait on still tells of a server that is silent to all. */
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
