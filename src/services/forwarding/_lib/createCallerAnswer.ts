/**
 * What the caller gets: one answer, which may come from more than one backend
 * server when a stream goes on elsewhere. It has the head of the first.
 */
import { createEventRelay } from './createEventRelay.js'
import type { EventRelay } from './createEventRelay.js'
import type { CallerSink, Exchange, GatewayRefusal, InstanceAnswer } from '../../../types/index.js'

export type CallerAnswer = {
  /** Whether the caller has a head; from then on the answer can only go on, or break. */
  readonly hasBegun: () => boolean
  readonly relay: EventRelay
  readonly begin: (answer: InstanceAnswer) => void
  /** Passes bytes on; the exchange pauses while the caller reads slower than they come. */
  readonly pass: (bytes: Uint8Array, exchange: Exchange | undefined) => void
  readonly end: () => void
  readonly whole: (answer: InstanceAnswer, body: Uint8Array) => void
  readonly refuse: (refusal: GatewayRefusal) => void
  /** Ends the caller's connection so that the answer does not look complete. */
  readonly breakOff: () => void
}

/** Creates the answer of a caller that has a stream's events up to `lastEventId`. */
export const createCallerAnswer = (sink: CallerSink, lastEventId: number | undefined): CallerAnswer => {
  let hasBegun = false
  return {
    hasBegun: () => hasBegun,
    relay: createEventRelay(lastEventId),
    begin: (answer) => {
      hasBegun = true
      sink.head(answer)
    },
    pass: (bytes, exchange) => {
      if (sink.data(bytes)) return
      exchange?.pause()
      sink.onDrain(() => exchange?.resume())
    },
    end: sink.end,
    whole: sink.whole,
    refuse: sink.refuse,
    breakOff: sink.fail
  }
}
