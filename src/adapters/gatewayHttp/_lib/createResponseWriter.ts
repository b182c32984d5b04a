/** Writes the one final answer of a request to its caller's connection. */
import type { ServerResponse } from 'node:http'
import { createGatheredBytes } from '../../../kernel/index.js'
import type { RelayHeaders } from '../../relayHttp/index.js'
import type { CallerSink, FinalReason, GatewayRefusal, HeaderList, HeldEntry, InstanceAnswer } from '../../../types/index.js'

/** Refusals after which the connection is closed: bytes that follow on it can't be trusted or are not wanted. */
const CLOSING_REASONS: ReadonlySet<FinalReason> = new Set(['badRequest', 'headerTooLarge', 'bodyTooLarge', 'memoryFull'])
/** How long the connection is still read after a request was refused while its body is being sent: closing at once would reset it, and the caller could lose the answer. */
const LINGERING_CLOSE_MS = 500

/** Smaller parts of an answer that arrive in one turn of the event loop are written together: the queue of the connection takes some hundred bytes for each write. */
const MINIMUM_WRITE_BYTES = 4_096

const flatten = (headers: HeaderList): string[] => headers.flatMap(([name, value]) => [name, value])

const formatRetryAfter = (milliseconds: number): string => (Math.ceil(milliseconds) / 1000).toFixed(3)

export type ResponseWriterOptions = {
  /** Whether the node is shutting down. */
  readonly isClosing: () => boolean
  /** Called when bytes that follow on the connection must not be taken for a request. */
  readonly onUntrusted: () => void
  /** Headers for answers to a peer; `undefined` for answers to callers. */
  readonly relayHeaders?: RelayHeaders | undefined
  /** Counts what the node holds for the request; `undefined` where there is no bound. */
  readonly held?: HeldEntry | undefined
}

/** Creates the writer for the answer of one request. */
export const createResponseWriter = (response: ServerResponse, { isClosing, onUntrusted, relayHeaders, held }: ResponseWriterOptions): CallerSink => {
  const closing = (): string[] => isClosing() ? ['Connection', 'close'] : []

  const { socket } = response.req

  const gathered = createGatheredBytes()
  /** Whether the caller has to read before more is written. */
  let isFull = false

  /** Returns whether more may be written now. */
  const writeGathered = (): boolean => {
    const bytes = gathered.take()
    const isDrained = response.write(bytes)
    isFull = !(held === undefined ? isDrained : held.recordWrite(bytes.length))
    return !isFull
  }

  const writeRest = (): void => { if (gathered.length() > 0) writeGathered() }

  const relayed = (answer: InstanceAnswer): readonly string[] => relayHeaders?.servedBy(answer) ?? []

  const writeHead = (status: number, headers: readonly string[]): void => {
    response.removeHeader('Connection')
    response.writeHead(status, [...headers, ...closing()])
  }

  const refuse = (refusal: GatewayRefusal, extra: readonly string[]): void => {
    if (response.headersSent || response.destroyed) return
    const body = JSON.stringify({ error: refusal.reason })
    const retryAfter = refusal.retryAfterMs === undefined ? [] : ['Retry-After', formatRetryAfter(refusal.retryAfterMs)]
    writeHead(refusal.status, ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body)), ...retryAfter, ...(relayHeaders?.refusal(refusal) ?? []), ...extra])
    response.end(body)
  }

  return {
    // The end of the connection is known some turns before its socket is closed.
    hasLeft: () => socket.destroyed || socket.readableEnded,
    refuse: (refusal) => {
      if (!CLOSING_REASONS.has(refusal.reason)) return refuse(refusal, [])
      onUntrusted()
      refuse(refusal, isClosing() ? [] : ['Connection', 'close'])
      response.req.resume()
      setTimeout(() => socket.destroy(), LINGERING_CLOSE_MS).unref()
    },
    complete: (answer: InstanceAnswer, body) => {
      writeHead(answer.status, [...flatten(answer.headers), ...relayed(answer), 'Content-Length', String(body.length)])
      response.end(body)
      held?.recordWrite(body.length)
    },
    head: (answer) => {
      const length = answer.contentLength === undefined || answer.isEventStream ? [] : ['Content-Length', String(answer.contentLength)]
      writeHead(answer.status, [...flatten(answer.headers), ...relayed(answer), ...length])
    },
    data: (bytes) => {
      if (gathered.length() === 0) queueMicrotask(writeRest)
      gathered.push(bytes)
      return isFull || gathered.length() >= MINIMUM_WRITE_BYTES ? writeGathered() : true
    },
    onDrain: (listener, readPausedBytes) => {
      if (held === undefined) response.once('drain', listener)
      else held.onResume(listener, readPausedBytes)
    },
    ...(held === undefined ? {} : { readAllowance: held.readAllowance, recordBuffered: held.recordBuffered }),
    end: () => {
      writeRest()
      response.end()
    },
    fail: () => { response.destroy() }
  }
}
