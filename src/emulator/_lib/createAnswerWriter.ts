/** Writes an answer in pieces to a raw response, and applies faults to it. */
import type { ServerResponse } from 'node:http'
import type { Clock } from '../../types/index.js'
import type { FaultSetting } from '../createFaultSwitches/index.js'
import type { BackendFault, BackendFaults } from './backendFaults.js'

/** A piece is one event of a stream, or some characters of an answer that is not streamed. */
export type AnswerWriter = {
  readonly head: (status: number, headers: Readonly<Record<string, string>>) => void
  readonly piece: (text: string) => void
  readonly end: () => void
}

type AnswerFault = Extract<BackendFault, 'lateAnswer' | 'cutAnswer' | 'truncateAnswer' | 'freezeAnswer' | 'duplicateEvent'>

type FaultContext = { readonly response: ServerResponse, readonly clock: Clock, readonly setting: FaultSetting }

const ANSWER_PIECE_CHARACTERS = 16

const ignore = (): void => {}

const createPlainWriter = (response: ServerResponse): AnswerWriter => ({
  head: (status, headers) => { response.writeHead(status, headers) },
  piece: (text) => { response.write(text) },
  end: () => { response.end() }
})

/** Writes the first `after` pieces, then calls `stop` once and drops all that follows. */
const stopAfter = (writer: AnswerWriter, after: number, stop: () => void): AnswerWriter => {
  let piecesLeft = after
  let isStopped = false
  const stopOnce = (): void => {
    if (isStopped) return
    isStopped = true
    stop()
  }
  return {
    head: writer.head,
    piece: (text) => {
      if (piecesLeft > 0) writer.piece(text)
      else stopOnce()
      piecesLeft -= 1
    },
    end: stopOnce
  }
}

const removeContentLength = (writer: AnswerWriter): AnswerWriter => ({
  ...writer,
  head: (status, headers) => {
    const { 'content-length': _length, ...rest } = headers
    writer.head(status, rest)
  }
})

const delayAnswer = (writer: AnswerWriter, clock: Clock, ms: number): AnswerWriter => {
  let held: (() => void)[] | undefined
  let isElapsed = false
  const run = (action: () => void): void => {
    if (isElapsed) return action()
    if (held === undefined) {
      held = []
      clock.setTimer(ms, () => {
        isElapsed = true
        held?.forEach((heldAction) => heldAction())
      })
    }
    held.push(action)
  }
  return {
    head: (status, headers) => run(() => writer.head(status, headers)),
    piece: (text) => run(() => writer.piece(text)),
    end: () => run(writer.end)
  }
}

const repeatPiece = (writer: AnswerWriter, after: number): AnswerWriter => {
  let index = 0
  return {
    ...writer,
    piece: (text) => {
      writer.piece(text)
      if (index === after) writer.piece(text)
      index += 1
    }
  }
}

// The pieces before the cut are flushed first: a destroyed socket drops what is
// still buffered, and the answer would be cut earlier than requested. A cut before
// the first piece sends no byte at all, not even the status line.
const cutConnection = (response: ServerResponse, after: number): void => {
  const destroy = (): void => { response.socket?.destroy() }
  if (after === 0) destroy()
  else response.write('', destroy)
}

const ANSWER_FAULTS: Readonly<Record<AnswerFault, (writer: AnswerWriter, context: FaultContext) => AnswerWriter>> = {
  duplicateEvent: (writer, { setting }) => repeatPiece(removeContentLength(writer), setting.after),
  freezeAnswer: (writer, { setting }) => stopAfter(writer, setting.after, ignore),
  truncateAnswer: (writer, { response, setting }) => stopAfter(removeContentLength(writer), setting.after, () => response.end()),
  cutAnswer: (writer, { response, setting }) => stopAfter(writer, setting.after, () => cutConnection(response, setting.after)),
  lateAnswer: (writer, { clock, setting }) => delayAnswer(writer, clock, setting.ms)
}

/**
 * Creates a writer of one answer. At most one of the active faults is applied to
 * it, the first in the order of the table. The others apply to later answers, so
 * that the effects of several active faults can be told apart.
 *
 * @param response - Response that the answer is written to.
 * @param faults - The fault switches; a counted fault that is applied is decremented.
 * @param clock - Times the delay of a late answer.
 * @returns The writer.
 *
 * @example
 * const writer = createAnswerWriter(reply.raw, faults, clock)
 */
export const createAnswerWriter = (response: ServerResponse, faults: BackendFaults, clock: Clock): AnswerWriter => {
  const writer = createPlainWriter(response)
  const fault = (Object.keys(ANSWER_FAULTS) as AnswerFault[]).find((name) => faults.peek(name) !== undefined)
  const setting = fault === undefined ? undefined : faults.take(fault)
  if (fault === undefined || setting === undefined) return writer
  return ANSWER_FAULTS[fault](writer, { response, clock, setting })
}

/**
 * Writes an answer that is not streamed, in small pieces so that a fault can
 * apply in the middle of it.
 *
 * @param writer - Writer of the answer.
 * @param status - HTTP status.
 * @param headers - Headers other than the content length.
 * @param body - The complete body.
 *
 * @example
 * writeCompleteAnswer(writer, 200, { 'content-type': 'application/json' }, '{}')
 */
export const writeCompleteAnswer = (writer: AnswerWriter, status: number, headers: Readonly<Record<string, string>>, body: string): void => {
  writer.head(status, { ...headers, 'content-length': String(Buffer.byteLength(body)) })
  for (let start = 0; start < body.length; start += ANSWER_PIECE_CHARACTERS) writer.piece(body.slice(start, start + ANSWER_PIECE_CHARACTERS))
  writer.end()
}
