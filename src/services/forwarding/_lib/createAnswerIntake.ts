/**
 * The answer of one backend server on its way to the caller: the head is
 * checked, events go on as they become whole, and any other answer is held until
 * it is whole, so that a truncated one is found before its head is sent. The head of a
 * stream goes with its first event: a server that breaks off before has given the caller
 * nothing, and the request can still get another server's answer or an honest failure.
 */
import type { CallerAnswer } from './createCallerAnswer.js'
import { createEventReader } from './createEventReader.js'
import { judgeAnswer } from './judgeAnswer.js'
import type { Exchange, GatewayRequest, InstanceAnswer } from '../../../types/index.js'

export type AnswerListener = {
  /** The head belongs to the request. */
  readonly onHead: (answer: InstanceAnswer) => void
  /** The server states that it did not run the request. */
  readonly onNotRun: (answer: InstanceAnswer) => void
  /** Not the answer to this request, or not whole, or not to be joined to what the caller has. */
  readonly onBroken: (message: string) => void
  /** The server states, in a whole answer, that it failed. */
  readonly onStatedFailure: (answer: InstanceAnswer, body: Uint8Array) => void
  /** The caller is to have this whole answer; nothing of it was passed on. */
  readonly onWhole: (answer: InstanceAnswer, body: Uint8Array) => void
  /** The last bytes were passed on. */
  readonly onPassed: () => void
}

export type AnswerIntake = {
  readonly takeHead: (answer: InstanceAnswer) => void
  readonly takeData: (bytes: Uint8Array, exchange: Exchange | undefined) => void
  readonly takeEnd: () => void
}

/** An answer that is no event stream is held up to so many bytes; longer ones go on as they come. */
const HELD_BYTES = 1024 * 1024

const isStream = (answer: InstanceAnswer): boolean => answer.isEventStream && answer.status === 200

/** Creates the intake of one send. Once `onNotRun`, `onBroken` or an end was told, nothing more may be taken. */
export const createAnswerIntake = (request: GatewayRequest, caller: CallerAnswer, listener: AnswerListener): AnswerIntake => {
  const reader = createEventReader()
  let answer: InstanceAnswer | undefined
  let held: Uint8Array[] = []
  let heldBytes = 0

  const beginWith = (head: InstanceAnswer): void => { if (!caller.hasBegun()) caller.begin(head) }

  const passEvents = (head: InstanceAnswer, bytes: Uint8Array, exchange: Exchange | undefined): void => {
    const relayed = caller.relay.take(reader.push(bytes))
    if (relayed.bytes !== undefined) {
      beginWith(head)
      caller.pass(relayed.bytes, exchange)
    }
    if (relayed.gap !== undefined) listener.onBroken(relayed.gap)
  }

  const hold = (head: InstanceAnswer, bytes: Uint8Array, exchange: Exchange | undefined): void => {
    held.push(bytes)
    heldBytes += bytes.length
    if (heldBytes <= HELD_BYTES) return
    const chunks = held
    held = []
    caller.begin(head)
    for (const chunk of chunks) caller.pass(chunk, exchange)
  }

  return {
    takeHead: (head) => {
      answer = head
      const verdict = judgeAnswer(request, head)
      if (verdict.kind === 'foreign') return listener.onBroken(verdict.message)
      if (verdict.kind === 'notRun') return listener.onNotRun(head)
      if (caller.hasBegun() && !isStream(head)) return listener.onBroken(`status ${head.status} instead of the rest of the stream`)
      listener.onHead(head)
    },
    takeData: (bytes, exchange) => {
      if (answer === undefined) return
      if (isStream(answer)) return passEvents(answer, bytes, exchange)
      if (!caller.hasBegun()) return hold(answer, bytes, exchange)
      caller.pass(bytes, exchange)
    },
    takeEnd: () => {
      if (answer === undefined) return listener.onBroken('end without an answer')
      if (reader.pendingBytes() > 0) return listener.onBroken('end in the middle of an event')
      if (isStream(answer)) beginWith(answer)
      if (caller.hasBegun()) return listener.onPassed()
      const body = Buffer.concat(held)
      if (answer.status >= 500) return listener.onStatedFailure(answer, body)
      listener.onWhole(answer, body)
    }
  }
}
