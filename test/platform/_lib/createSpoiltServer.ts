/**
 * Runs a backend server that spoils its answers in the ways that the platform's pages name:
 * cut short, one too many, none, without end, for another request, or of another length.
 */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import type { PeerAddress } from '../../../src/types/index.js'

export const SPOILINGS = [
  'none', 'truncated', 'extraAtOnce', 'extraLate', 'extraLateRefusal', 'noAnswer', 'wrongId', 'tooShort', 'tooLong',
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

type Channel = { readonly socket: Socket, owed: string }

type Endless = { readonly begin: string, readonly piece: string }

const HEAD_END = '\r\n\r\n'
const BODY_BYTES = 200
const PIECE_BYTES = 32_768
const STRAY_REFUSAL = 'HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'

/** The body of the answer to a request. */
export const composeBody = (requestId: string): string => JSON.stringify({ answer: requestId }).padEnd(BODY_BYTES)

const composeHead = (requestId: string, ...lines: readonly string[]): string =>
  ['HTTP/1.1 200 OK', `X-Attempt-Id: ${requestId}`, 'X-Server-Stamp: stamp', ...lines, '', ''].join('\r\n')

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
  tooLong: ({ socket }, requestId) => { socket.write(`${composeAnswer(requestId)}${'x'.repeat(50)}`) }
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

const parseRequests = (text: string): { readonly requests: readonly Request[], readonly rest: string } => {
  const requests: Request[] = []
  let rest = text
  for (let end = rest.indexOf(HEAD_END); end >= 0; end = rest.indexOf(HEAD_END)) {
    const head = rest.slice(0, end)
    const size = end + HEAD_END.length + Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? 0)
    if (rest.length < size) break
    requests.push({ id: /^x-attempt-id: (.*)$/im.exec(head)?.[1] ?? '', target: head.split(' ')[1] ?? '' })
    rest = rest.slice(size)
  }
  return { requests, rest }
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
    const spoiling = select()
    runs.push({ requestId, spoiling })
    if (channel.owed !== '') channel.socket.write(channel.owed)
    channel.owed = ''
    const endless = ENDLESS[spoiling]
    if (endless === undefined) return answers[spoiling]?.(channel, requestId)
    pouring.add(channel.socket)
    pour(channel.socket, endless(requestId))
  }

  const server = createServer((socket) => {
    const channel: Channel = { socket, owed: '' }
    let pending = ''
    sockets.add(socket)
    socket.on('error', () => { /* the gateway gives the exchange up */ })
    socket.on('close', () => {
      sockets.delete(socket)
      if (pouring.delete(socket)) mostPoured = Math.max(mostPoured, socket.bytesWritten)
    })
    socket.setEncoding('latin1')
    socket.on('data', (chunk) => {
      const { requests, rest } = parseRequests(pending + String(chunk))
      pending = rest
      for (const { id: requestId } of requests) answer(channel, requestId)
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
