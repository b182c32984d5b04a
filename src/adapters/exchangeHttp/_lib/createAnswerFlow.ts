/**
 * Passes the body of an answer on as fast as its listener takes it. Bytes that were read in one
 * piece with those that paused it are kept until it is resumed, and the end after them.
 */
import type { ReadGate } from './createReadGate.js'
import { createGatheredBytes } from '../../../kernel/index.js'
import type { ExchangeListener } from '../../../types/index.js'

export type AnswerFlow = {
  readonly push: (bytes: Uint8Array) => void
  readonly end: () => void
  /** Nothing is delivered from now on. */
  readonly stop: () => void
  readonly pause: () => void
  readonly resume: () => void
  /** Bytes kept. */
  readonly countBytes: () => number
}

/**
 * Creates the flow of one answer through an open gate.
 *
 * @param listener - Gets the body and its end.
 * @param readGate - Returns no gate once the connection carries the next answer.
 * @param onThrown - Told what the listener throws in a later delivery.
 */
export const createAnswerFlow = (listener: Pick<ExchangeListener, 'onData' | 'onEnd'>, readGate: () => ReadGate | undefined, onThrown: (error: unknown) => void): AnswerFlow => {
  const kept = createGatheredBytes()
  let isPaused = false
  /** Whether the delivery of what was kept is due. */
  let isDue = false
  let hasEnded = false

  const canDeliver = (): boolean => !isPaused && kept.length() > 0

  const deliver = (): void => {
    isDue = false
    while (canDeliver()) listener.onData(kept.take())
    if (isPaused) return
    // What is read now may pause the answer again, and then holds its end back with the bytes before it.
    if (!hasEnded) return readGate()?.readOn()
    hasEnded = false
    listener.onEnd()
  }

  const deliverContained = (): void => {
    try {
      deliver()
    } catch (error) {
      onThrown(error)
    }
  }

  const isWaiting = (): boolean => isPaused || isDue

  return {
    push: (bytes) => {
      if (isWaiting()) kept.push(bytes)
      else listener.onData(bytes)
    },
    end: () => {
      if (isWaiting()) hasEnded = true
      else listener.onEnd()
    },
    stop: () => {
      kept.take()
      hasEnded = false
      isPaused = true
    },
    pause: () => {
      isPaused = true
      readGate()?.close()
    },
    resume: () => {
      if (!isPaused) return
      isPaused = false
      if (isDue) return
      isDue = true
      // The caller may stand in an event of a parser, and parsers must not be entered twice.
      process.nextTick(deliverContained)
    },
    countBytes: kept.length
  }
}
