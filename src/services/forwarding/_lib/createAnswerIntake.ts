/**
 * Passes the answer of one backend server on to the caller. The head is checked; complete
 * events are passed on at once, and any other answer is buffered until it is complete, so
 * that a truncated one is detected before its head is sent. The head of a stream is sent
 * with its first event: until then the caller has received nothing, so the request can
 * still get another server's answer or a failure status.
 */
import type { CallerAnswer } from './createCallerAnswer.js'
import { createEventReader } from './createEventReader.js'
import { classifyAnswer, reportsFailure } from './classifyAnswer.js'
import { promisesNotRun } from '../../../decisions/selectFinalStatus/index.js'
import { createGatheredBytes } from '../../../kernel/index.js'
import type { Exchange, GatewayRequest, InstanceAnswer } from '../../../types/index.js'

export type AnswerListener = {
  /** The head belongs to the request. */
  readonly onHead: (answer: InstanceAnswer) => void
  /** The backend server states that it did not run the request. */
  readonly onNotRun: (answer: InstanceAnswer) => void
  /** The answer belongs to another request, is incomplete, or does not continue what the caller has. */
  readonly onBroken: (message: string) => void
  /** The backend server reports a failure in a complete answer. */
  readonly onReportedFailure: (answer: InstanceAnswer, body: Uint8Array) => void
  /** The answer is complete and nothing of it was passed on yet. */
  readonly onComplete: (answer: InstanceAnswer, body: Uint8Array) => void
  /** The last bytes of the answer were passed on. */
  readonly onStreamEnd: (answer: InstanceAnswer) => void
}

export type AnswerIntake = {
  readonly handleHead: (answer: InstanceAnswer) => void
  readonly handleData: (bytes: Uint8Array, exchange: Exchange | undefined) => void
  readonly handleEnd: () => void
}

/** An answer that is no event stream is buffered up to this size, or less where the node has little room; longer ones are passed on as they arrive. */
const MAXIMUM_BUFFERED_BYTES = 1024 * 1024

/** A faulty server may send a body without end; a longer answer than this is broken off. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024
/** An event is held until it is complete. */
const MAXIMUM_EVENT_BYTES = 256 * 1024

const isStream = (answer: InstanceAnswer): boolean => answer.isEventStream && answer.status === 200

/** Creates the intake of one attempt. After `onNotRun`, `onBroken` or a callback for the end it must not be called again. */
export const createAnswerIntake = (request: GatewayRequest, caller: CallerAnswer, listener: AnswerListener): AnswerIntake => {
  const reader = createEventReader()
  let answer: InstanceAnswer | undefined
  const buffered = createGatheredBytes()
  let receivedBytes = 0

  const beginWith = (head: InstanceAnswer): void => { if (!caller.hasBegun()) caller.begin(head) }

  const passEvents = (head: InstanceAnswer, bytes: Uint8Array, exchange: Exchange | undefined): void => {
    const relayed = caller.relay.take(reader.push(bytes))
    if (relayed.bytes !== undefined) {
      beginWith(head)
      caller.pass(relayed.bytes, exchange)
    }
    if (relayed.gap !== undefined) return listener.onBroken(relayed.gap)
    if (reader.pendingBytes() > MAXIMUM_EVENT_BYTES) return listener.onBroken(`event of more than ${MAXIMUM_EVENT_BYTES} bytes`)
    caller.recordBuffered(reader.pendingBytes())
  }

  const bufferBytes = (head: InstanceAnswer, bytes: Uint8Array, exchange: Exchange | undefined): void => {
    // No byte of an answer that promises 'not run' without proof is ever passed on.
    if (promisesNotRun(head.status)) return
    buffered.push(bytes)
    caller.recordBuffered(buffered.length())
    if (buffered.length() <= Math.min(MAXIMUM_BUFFERED_BYTES, caller.readAllowance())) return
    caller.recordBuffered(0)
    caller.begin(head)
    caller.pass(buffered.take(), exchange)
  }

  return {
    handleHead: (head) => {
      answer = head
      const answerClass = classifyAnswer(request, head)
      if (answerClass.kind === 'foreign') return listener.onBroken(answerClass.message)
      if (answerClass.kind === 'notRun') return listener.onNotRun(head)
      if (request.method !== 'HEAD' && (head.contentLength ?? 0) > MAXIMUM_ANSWER_BYTES) return listener.onBroken(`answer of ${head.contentLength} bytes`)
      if (caller.hasBegun() && !isStream(head)) return listener.onBroken(`status ${head.status} instead of the rest of the stream`)
      listener.onHead(head)
    },
    handleData: (bytes, exchange) => {
      if (answer === undefined) return
      receivedBytes += bytes.length
      if (receivedBytes > MAXIMUM_ANSWER_BYTES) return listener.onBroken(`answer of more than ${MAXIMUM_ANSWER_BYTES} bytes`)
      if (isStream(answer)) return passEvents(answer, bytes, exchange)
      if (!caller.hasBegun()) return bufferBytes(answer, bytes, exchange)
      caller.pass(bytes, exchange)
    },
    handleEnd: () => {
      if (answer === undefined) return listener.onBroken('end without an answer')
      if (reader.pendingBytes() > 0) return listener.onBroken('end in the middle of an event')
      if (isStream(answer)) beginWith(answer)
      if (caller.hasBegun()) return listener.onStreamEnd(answer)
      const body = buffered.take()
      caller.recordBuffered(0)
      if (reportsFailure(answer)) return listener.onReportedFailure(answer, body)
      listener.onComplete(answer, body)
    }
  }
}
