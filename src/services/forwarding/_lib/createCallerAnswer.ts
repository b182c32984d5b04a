/**
 * Writes the answer to the caller. When a stream is resumed on another backend server,
 * the answer has the head from the first server and the events from all of them.
 */
import { createEventRelay } from './createEventRelay.js'
import type { EventRelay } from './createEventRelay.js'
import type { CallerSink, Exchange, GatewayRefusal, InstanceAnswer } from '../../../types/index.js'

export type CallerAnswer = {
  /** Whether the head was sent to the caller; from then on the answer can only continue or be aborted. */
  readonly hasBegun: () => boolean
  /** Whether another backend server may still answer: nothing was sent, or events that it can resume. */
  readonly isContinuable: () => boolean
  readonly relay: EventRelay
  readonly begin: (answer: InstanceAnswer) => void
  /** Passes bytes on; the exchange pauses while the caller reads slower than bytes arrive. */
  readonly pass: (bytes: Uint8Array, exchange: Exchange | undefined) => void
  /** Whether the exchange is paused for a node's bound on held bytes: the backend server is not silent, it is not read. */
  readonly isPaused: () => boolean
  /** Bytes that may be buffered until the answer is complete. */
  readonly readAllowance: () => number
  readonly recordBuffered: (bytes: number) => void
  readonly end: () => void
  readonly sendComplete: (answer: InstanceAnswer, body: Uint8Array) => void
  readonly refuse: (refusal: GatewayRefusal) => void
  /** Aborts the caller's connection so that the answer does not look complete. */
  readonly abort: () => void
}

/** Creates the answer for a caller that already has the events up to `lastEventId`. */
export const createCallerAnswer = (sink: CallerSink, lastEventId: number | undefined): CallerAnswer => {
  let hasBegun = false
  let isEventStream = false
  let isPaused = false
  return {
    hasBegun: () => hasBegun,
    isContinuable: () => !hasBegun || isEventStream,
    relay: createEventRelay(lastEventId),
    begin: (answer) => {
      hasBegun = true
      isEventStream = answer.isEventStream
      sink.head(answer)
    },
    pass: (bytes, exchange) => {
      if (sink.data(bytes)) return
      isPaused = true
      exchange?.pause()
      sink.onDrain(() => {
        isPaused = false
        exchange?.resume()
      }, () => exchange?.countPausedBytes?.() ?? 0)
    },
    isPaused: () => isPaused && sink.readAllowance !== undefined,
    readAllowance: () => sink.readAllowance?.() ?? Infinity,
    recordBuffered: (bytes) => sink.recordBuffered?.(bytes),
    end: sink.end,
    sendComplete: sink.complete,
    refuse: sink.refuse,
    abort: sink.fail
  }
}
