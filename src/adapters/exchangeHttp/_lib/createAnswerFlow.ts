/**
 * Passes the body of an answer on as fast as its listener takes it. Bytes that were read in one
 * piece with those that paused it are kept until it is resumed, and the end after them.
 */
import type { ReadGate } from './createReadGate.js'
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
  const kept: Uint8Array[] = []
  let isPaused = false
  /** Whether the delivery of what was kept is due. */
  let isDue = false
  let hasEnded = false

  /** Returns the next bytes that were kept, unless the listener has paused again. */
  const take = (): Uint8Array | undefined => isPaused ? undefined : kept.shift()

  const deliver = (): void => {
    isDue = false
    for (let bytes = take(); bytes !== undefined; bytes = take()) listener.onData(bytes)
    if (isPaused) return
    readGate()?.readOn()
    if (!hasEnded) return
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
      kept.length = 0
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
    countBytes: () => kept.reduce((bytes, { length }) => bytes + length, 0)
  }
}
