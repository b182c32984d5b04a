import { createServer, type AddressInfo, type Socket } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { createExchangeHttp, type ExchangeHttp } from './index.js'
import { createSystemClock } from '../systemClock/index.js'
import { waitFor } from '../../../test/_lib/waitFor.js'
import type { Exchange, InstanceAnswer } from '../../types/index.js'

const CONNECT_TIMEOUT_MS = 200
const LARGE_BYTES = 3_000_000
const UNFRAMED = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

const closing: (() => void)[] = []

afterEach(() => { for (const close of closing.splice(0).reverse()) close() })

type Play = {
  readonly client: ExchangeHttp
  /** Connections in the order in which they were opened. */
  readonly sockets: readonly Socket[]
  readonly call: () => Call
}

type Call = { readonly exchange: () => Exchange, readonly events: readonly string[], readonly body: () => string }

/** Starts a server that answers each request with these bytes, and a client whose answers are paused at each piece. */
const play = async (answer: string): Promise<Play> => {
  const sockets: Socket[] = []
  const server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => { /* the client aborts */ })
    socket.on('data', () => { socket.write(answer) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const client = createExchangeHttp({
    clock: createSystemClock(),
    decodeAnswer: (status): InstanceAnswer => ({ status, headers: [], requestId: undefined, isSigned: false, isNotRun: false, isOtherInstance: false, load: undefined, contentLength: undefined, isEventStream: false, isEncoded: false, backoffMs: undefined, isLeaving: false }),
    connectTimeoutMs: CONNECT_TIMEOUT_MS
  })
  closing.push(() => { server.close() }, () => { for (const socket of sockets) socket.destroy() }, client.close)
  const { port } = server.address() as AddressInfo
  const call = (): Call => {
    const events: string[] = []
    let body = ''
    const exchange = client.send({ key: 'k', address: { host: '127.0.0.1', port }, method: 'GET', target: '/', headers: ['Host', 'a.example'], body: new Uint8Array() }, {
      maySend: () => true,
      onSent: () => {},
      onHead: () => {},
      onData: (bytes) => {
        events.push('data')
        body += Buffer.from(bytes).toString('latin1')
        exchange.pause()
      },
      onEnd: () => { events.push('end') },
      onFailure: ({ kind }) => { events.push(kind) }
    })
    return { exchange: () => exchange, events, body: () => body }
  }
  return { client, sockets, call }
}

const waitForFirstPiece = (call: Call): Promise<unknown> => waitFor('the first piece', () => call.events.length > 0)

const turn = (): Promise<void> => new Promise((resolve) => { setTimeout(resolve, 20) })

const readAll = async ({ exchange, events }: Call): Promise<void> => {
  while (!events.some((event) => event !== 'data')) {
    exchange().resume()
    await new Promise((resolve) => { setImmediate(resolve) })
  }
}

describe('an answer that is paused', () => {
  // A parser that is paused on the last bytes throws when the connection ends.
  test.each([UNFRAMED + 'ok', CHUNKED + '2\r\nok\r\n0\r\n\r\n'])('ends when it is read on, not before (%#)', async (answer) => {
    const { sockets, call } = await play(answer)
    const paused = call()
    await waitForFirstPiece(paused)
    sockets[0]!.end()
    await turn()
    expect(paused.events).toEqual(['data'])
    await readAll(paused)
    expect([paused.events, paused.body()]).toEqual([['data', 'end'], 'ok'])
  })

  test('is whole after many pauses, with the connection ended long before', async () => {
    const { sockets, call } = await play(UNFRAMED + 'x'.repeat(LARGE_BYTES))
    const paused = call()
    await waitForFirstPiece(paused)
    sockets[0]!.end()
    await readAll(paused)
    expect([paused.events.at(-1), paused.body().length]).toEqual(['end', LARGE_BYTES])
  })

  // Pieces that were read at once with the one that paused the answer must neither be delivered meanwhile nor get lost.
  test('delivers no more pieces until it is read on', async () => {
    const { call } = await play(`${CHUNKED}1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n`)
    const paused = call()
    await waitForFirstPiece(paused)
    await turn()
    expect([paused.events, paused.exchange().countPausedBytes?.()]).toEqual([['data'], 2])
    await readAll(paused)
    expect([paused.events, paused.body()]).toEqual([['data', 'data', 'end'], 'abc'])
  })

  test('keeps no later request from its connection, and survives that one', async () => {
    const { sockets, call } = await play(`${CHUNKED}1\r\na\r\n1\r\nb\r\n0\r\n\r\n`)
    const [first, second] = [call(), call()]
    await Promise.all([waitForFirstPiece(first), waitForFirstPiece(second)])
    await turn()
    const third = call()
    await readAll(third)
    await Promise.all([readAll(first), readAll(second)])
    expect([first, second, third].map(({ body }) => body())).toEqual(['ab', 'ab', 'ab'])
    expect(sockets).toHaveLength(2)
  })

  // A reset must not pass for the end of an answer without length.
  test('is broken when its connection is reset', async () => {
    const { sockets, call } = await play(UNFRAMED + 'x'.repeat(1_000))
    const paused = call()
    await waitForFirstPiece(paused)
    sockets[0]!.resetAndDestroy()
    await readAll(paused)
    expect(paused.events).toEqual(['data', 'broken'])
  })

  test('delivers nothing more once it is given up', async () => {
    const { sockets, call } = await play(UNFRAMED + 'x'.repeat(LARGE_BYTES))
    const paused = call()
    await waitForFirstPiece(paused)
    const closed = new Promise((resolve) => { sockets[0]!.on('close', resolve) })
    paused.exchange().abort()
    paused.exchange().resume()
    await closed
    await turn()
    expect(paused.events).toEqual(['data'])
  })

  // What waits must be bounded, however much the server sends.
  test('holds a bounded number of bytes', async () => {
    const { sockets, call } = await play(UNFRAMED + 'x'.repeat(20 * LARGE_BYTES))
    const paused = call()
    await waitForFirstPiece(paused)
    await waitFor('the server to be stopped', async () => {
      const before = sockets[0]!.bytesWritten - sockets[0]!.writableLength
      await turn()
      return sockets[0]!.bytesWritten - sockets[0]!.writableLength === before
    })
    expect(paused.exchange().countPausedBytes?.()).toBeLessThanOrEqual(4 * 65_536)
  })
})
