/**
 * Channel for the answer to a caller. The request runs independently and pushes
 * into the reply, so that its deadline applies and its outcome is counted even
 * when the caller stops reading or never starts.
 */
import type { AnswerPart, CallerAnswer, Headers, Refusal } from '../../../types/index.js'

const HIGH_WATER_MARK_BYTES = 65_536

export type Reply = {
  readonly answer: Promise<CallerAnswer>
  readonly sendComplete: (status: number, headers: Headers, body: Uint8Array) => void
  readonly startStream: (status: number, headers: Headers) => void
  /** Applies backpressure while the caller is slow; resolves false when it has stopped reading or the signal aborts. */
  readonly sendData: (bytes: Uint8Array, signal: AbortSignal) => Promise<boolean>
  readonly endStream: () => void
  /** Ends the reply with a refusal, either in place of an answer or in the middle of a stream. */
  readonly refuse: (refusal: Refusal) => void
  /** Whether the caller may have received a part of an answer. */
  readonly hasStarted: () => boolean
}

type PartQueue = {
  readonly parts: AnswerPart[]
  readonly notifyReader: () => void
  readonly waitForRoom: (signal: AbortSignal) => Promise<boolean>
  readonly iterable: AsyncIterable<AnswerPart>
}

/** Passes a callback to `storeNotify`; resolves, and removes its abort listener, when it is called or the signal aborts. */
const waitForNotification = (signal: AbortSignal, storeNotify: (notify: () => void) => void): Promise<void> => new Promise((resolve) => {
  const notify = (): void => {
    signal.removeEventListener('abort', notify)
    resolve()
  }
  signal.addEventListener('abort', notify)
  storeNotify(notify)
})

const createPartQueue = (): PartQueue => {
  const parts: AnswerPart[] = []
  const reader = { isDone: false }
  let notifyReader = (): void => {}
  let notifyWriter = (): void => {}

  const queuedBytes = (): number => parts.reduce((sum, part) => sum + (part.kind === 'data' ? part.bytes.length : 0), 0)

  const waitForRoom = async (signal: AbortSignal): Promise<boolean> => {
    while (!reader.isDone && !signal.aborted && queuedBytes() > HIGH_WATER_MARK_BYTES) {
      await waitForNotification(signal, (notify) => { notifyWriter = notify })
    }
    return !reader.isDone && !signal.aborted
  }

  const next = async (): Promise<IteratorResult<AnswerPart>> => {
    while (!reader.isDone) {
      const part = parts.shift()
      notifyWriter()
      if (part === undefined) {
        await new Promise<void>((resolve) => { notifyReader = resolve })
        continue
      }
      if (part.kind !== 'data') reader.isDone = true
      return { done: false, value: part }
    }
    return { done: true, value: undefined }
  }

  const cancelReading = async (): Promise<IteratorResult<AnswerPart>> => {
    reader.isDone = true
    notifyWriter()
    notifyReader()
    return { done: true, value: undefined }
  }

  return {
    parts,
    notifyReader: () => notifyReader(),
    waitForRoom,
    iterable: { [Symbol.asyncIterator]: () => ({ next, return: cancelReading }) }
  }
}

export const createReply = (): Reply => {
  let settle: (answer: CallerAnswer) => void = () => {}
  const answer = new Promise<CallerAnswer>((resolve) => { settle = resolve })
  const queue = createPartQueue()
  let isStreaming = false

  const push = (part: AnswerPart): void => {
    queue.parts.push(part)
    queue.notifyReader()
  }

  return {
    answer,
    sendComplete: (status, headers, body) => settle({ kind: 'whole', status, headers, body }),
    startStream: (status, headers) => {
      isStreaming = true
      settle({ kind: 'stream', status, headers, parts: queue.iterable })
    },
    sendData: async (bytes, signal) => {
      push({ kind: 'data', bytes })
      return await queue.waitForRoom(signal)
    },
    endStream: () => push({ kind: 'end' }),
    refuse: (refusal) => {
      if (isStreaming) push({ kind: 'failed', refusal })
      else settle({ kind: 'refused', refusal })
    },
    hasStarted: () => isStreaming
  }
}
