/**
 * Runs a backend server that spoils its answers in the ways that the platform's pages name:
 * cut short, one too many, none, without end, for another request, of another length, of a status that
 * is none of HTTP or that promises what it doesn't prove, or reset while the request is still being sent.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import type { PeerAddress } from '../../../src/types/index.js'

export const SPOILINGS = [
  'none', 'truncated', 'extraAtOnce', 'extraLate', 'extraLateRefusal', 'noAnswer', 'wrongId', 'tooShort', 'tooLong',
  'unproven408', 'unproven429', 'unproven503', 'status000', 'status099', 'status600', 'status999', 'unframedReset', 'unframedResetEarly',
  'endlessStatusLine', 'endlessHead', 'endlessInformation', 'endlessBody', 'endlessUnframedBody', 'endlessEvent', 'endlessChunkExtension', 'endlessTrailers', 'endlessBytes'
] as const

export type Spoiling = typeof SPOILINGS[number]

export type SpoiltRun = { readonly requestId: string, readonly spoiling: Spoiling }

export type SpoiltServer = {
  readonly id: string
  readonly address: () => PeerAddress
  readonly runs: () => readonly SpoiltRun[]
  /** Answers without end that are still being written. */
  readonly countPouring: () => number
  /** Bytes of the longest answer without end that was given up. */
  readonly mostPoured: () => number
  readonly close: () => Promise<void>
}

type Request = { readonly id: string, readonly target: string }

type Channel = {
  readonly socket: Socket
  /** Bytes of an answer that are written behind the next one. */
  owed: string
  /** What was selected for the request whose body is still arriving. */
  next: Spoiling | undefined
}

type Endless = { readonly begin: string, readonly piece: string }

const HEAD_END = '\r\n\r\n'
const BODY_BYTES = 200
const PIECE_BYTES = 32_768
const STRAY_REFUSAL = 'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'

/** The body of the answer to a request. */
export const composeBody = (requestId: string): string => JSON.stringify({ answer: requestId }).padEnd(BODY_BYTES)

const composeHead = (requestId: string, ...lines: readonly string[]): string => composeHeadOf('200 OK', requestId, ...lines)

const composeHeadOf = (status: string, requestId: string, ...lines: readonly string[]): string =>
  [`HTTP/1.1 ${status}`, `X-Attempt-Id: ${requestId}`, 'X-Server-Stamp: stamp', ...lines, '', ''].join('\r\n')

const composeAnswer = (requestId: string, length = BODY_BYTES): string => composeHead(requestId, `Content-Length: ${length}`) + composeBody(requestId)

const CHUNK = `${PIECE_BYTES.toString(16)}\r\n${'x'.repeat(PIECE_BYTES)}\r\n`

const ENDLESS: Readonly<Partial<Record<Spoiling, (requestId: string) => Endless>>> = {
  endlessStatusLine: () => ({ begin: 'HTTP/1.1 200 ', piece: 'x'.repeat(PIECE_BYTES) }),
  endlessHead: (requestId) => ({ begin: composeHead(requestId).slice(0, -2), piece: `X-More: ${'x'.repeat(1_000)}\r\n`.repeat(32) }),
  endlessInformation: () => ({ begin: '', piece: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(1_000) }),
  endlessBody: (requestId) => ({ begin: composeHead(requestId, 'Transfer-Encoding: chunked'), piece: CHUNK }),
  endlessUnframedBody: (requestId) => ({ begin: composeHead(requestId, 'Connection: close'), piece: 'x'.repeat(PIECE_BYTES) }),
  endlessEvent: (requestId) => ({ begin: composeHead(requestId, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked'), piece: CHUNK }),
  endlessChunkExtension: (requestId) => ({ begin: `${composeHead(requestId, 'Transfer-Encoding: chunked')}5;a=`, piece: 'x'.repeat(PIECE_BYTES) }),
  endlessTrailers: (requestId) => ({ begin: `${composeHead(requestId, 'Transfer-Encoding: chunked', 'Trailer: X-More')}2\r\nok\r\n0\r\n`, piece: `X-More: ${'x'.repeat(1_000)}\r\n`.repeat(32) }),
  endlessBytes: () => ({ begin: '', piece: '\r\n'.repeat(PIECE_BYTES / 2) })
}

/** Runs the request, and answers in full with this status. */
const answerWithStatus = (status: string) => ({ socket }: Channel, requestId: string): void => {
  socket.write(composeHeadOf(`${status} Trouble`, requestId, `Content-Length: ${BODY_BYTES}`) + composeBody(requestId))
}

/** Writes a part of an answer without a length, and resets the connection. */
const resetInAnswer = ({ socket }: Channel, requestId: string): void => {
  socket.write(composeHead(requestId) + composeBody(requestId).slice(0, BODY_BYTES / 2), () => { socket.resetAndDestroy() })
}

const answers: Readonly<Partial<Record<Spoiling, (channel: Channel, requestId: string) => void>>> = {
  none: ({ socket }, requestId) => { socket.write(composeAnswer(requestId)) },
  truncated: ({ socket }, requestId) => { socket.end(composeAnswer(requestId).slice(0, -BODY_BYTES / 2)) },
  extraAtOnce: ({ socket }, requestId) => { socket.write(composeAnswer(requestId) + composeAnswer(requestId)) },
  extraLate: (channel, requestId) => {
    channel.socket.write(composeAnswer(requestId))
    channel.owed = composeAnswer(requestId)
  },
  extraLateRefusal: (channel, requestId) => {
    channel.socket.write(composeAnswer(requestId))
    channel.owed = STRAY_REFUSAL
  },
  noAnswer: () => { /* the request runs */ },
  wrongId: ({ socket }, requestId) => { socket.write(composeAnswer(`not-${requestId}`)) },
  tooShort: ({ socket }, requestId) => { socket.end(composeAnswer(requestId, BODY_BYTES + 10)) },
  tooLong: ({ socket }, requestId) => { socket.write(`${composeAnswer(requestId)}${'x'.repeat(50)}`) },
  unproven408: answerWithStatus('408'),
  unproven429: answerWithStatus('429'),
  unproven503: answerWithStatus('503'),
  status000: answerWithStatus('000'),
  status099: answerWithStatus('099'),
  status600: answerWithStatus('600'),
  status999: answerWithStatus('999'),
  unframedReset: resetInAnswer,
  unframedResetEarly: resetInAnswer
}

/** Writes until the other side closes, no faster than it reads. */
const pour = (socket: Socket, { begin, piece }: Endless): void => {
  socket.write(begin)
  const writeOn = (): void => {
    if (socket.destroyed) return
    if (socket.write(piece)) setImmediate(writeOn)
    else socket.once('drain', writeOn)
  }
  writeOn()
}

const parseHead = (head: string): Request => ({ id: /^x-attempt-id: (.*)$/im.exec(head)?.[1] ?? '', target: head.split(' ')[1] ?? '' })

/** `begun` is a request whose body has not arrived completely. */
const parseRequests = (text: string): { readonly requests: readonly Request[], readonly begun: Request | undefined, readonly rest: string } => {
  const requests: Request[] = []
  let begun: Request | undefined
  let rest = text
  for (let end = rest.indexOf(HEAD_END); end >= 0; end = rest.indexOf(HEAD_END)) {
    const head = rest.slice(0, end)
    const size = end + HEAD_END.length + Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0)
    if (rest.length < size) {
      begun = parseHead(head)
      break
    }
    requests.push(parseHead(head))
    rest = rest.slice(size)
  }
  return { requests, begun, rest }
}

/**
 * Starts the server on a free port.
 *
 * @param id - Its id in the store.
 * @param select - Selects how the answer to a request is spoilt.
 * @returns The running server.
 */
export const createSpoiltServer = async (id: string, select: () => Spoiling): Promise<SpoiltServer> => {
  const runs: SpoiltRun[] = []
  const sockets = new Set<Socket>()
  const pouring = new Set<Socket>()
  let mostPoured = 0

  const answer = (channel: Channel, requestId: string): void => {
    const spoiling = channel.next ?? select()
    channel.next = undefined
    runs.push({ requestId, spoiling })
    if (channel.owed !== '') channel.socket.write(channel.owed)
    channel.owed = ''
    const endless = ENDLESS[spoiling]
    if (endless === undefined) return answers[spoiling]?.(channel, requestId)
    pouring.add(channel.socket)
    pour(channel.socket, endless(requestId))
  }

  const server = createServer((socket) => {
    const channel: Channel = { socket, owed: '', next: undefined }
    let pending = ''
    sockets.add(socket)
    socket.on('error', () => { /* the gateway gives the exchange up */ })
    socket.on('close', () => {
      sockets.delete(socket)
      if (pouring.delete(socket)) mostPoured = Math.max(mostPoured, socket.bytesWritten)
    })
    socket.setEncoding('latin1')
    socket.on('data', (chunk) => {
      const { requests, begun, rest } = parseRequests(pending + String(chunk))
      pending = rest
      for (const { id: requestId } of requests) answer(channel, requestId)
      if (begun === undefined || socket.destroyed) return
      channel.next ??= select()
      if (channel.next === 'unframedResetEarly') answer(channel, begun.id)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo

  return {
    id,
    address: () => ({ host: '127.0.0.1', port }),
    runs: () => runs,
    countPouring: () => pouring.size,
    mostPoured: () => mostPoured,
    close: () => new Promise((resolve) => {
      for (const socket of sockets) socket.destroy()
      server.close(() => resolve())
    })
  }
}
