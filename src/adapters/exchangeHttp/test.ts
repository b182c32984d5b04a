import { createServer as createHttpServer } from 'node:http'
import { createServer, Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, test, vi } from 'vitest'
import { createExchangeHttp, type ExchangeHttp, type OutgoingRequest } from './index.js'
import { createSystemClock } from '../systemClock/index.js'
import { createManualClock } from '../../emulator/createManualClock/index.js'
import { createFaultProxy } from '../../../test/_lib/createFaultProxy.js'
import { createGate } from '../../../test/_lib/createGate.js'
import { waitFor } from '../../../test/_lib/waitFor.js'
import type { Clock, Exchange, ExchangeFailure, InstanceAnswer } from '../../types/index.js'

const CONNECT_TIMEOUT_MS = 200

const closing: (() => Promise<void> | void)[] = []

afterEach(async () => {
  vi.restoreAllMocks()
  for (const close of closing.splice(0).reverse()) await close()
})

const startServer = async (): Promise<number> => {
  const server = createServer((socket) => {
    socket.on('error', () => { /* the client aborts */ })
    socket.once('data', () => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok') })
  })
  closing.push(() => { server.close() })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return (server.address() as AddressInfo).port
}

const decodeAnswer = (status: number): InstanceAnswer =>
  ({ status, headers: [], requestId: undefined, isSigned: false, isNotRun: false, isOtherInstance: false, load: undefined, contentLength: undefined, isEventStream: false, isEncoded: false, backoffMs: undefined, isLeaving: false })

const createRequest = (port: number): OutgoingRequest =>
  ({ key: 'k', address: { host: '127.0.0.1', port }, method: 'GET', target: '/', headers: ['Host', 'a.example'], body: new Uint8Array() })

const send = (clock: Clock, port: number): Promise<ExchangeFailure | 'answered'> => {
  const client = createExchangeHttp({ clock, decodeAnswer, connectTimeoutMs: CONNECT_TIMEOUT_MS })
  closing.push(client.close)
  return new Promise((resolve) => {
    client.send(createRequest(port), { maySend: () => true, onSent: () => {}, onHead: () => {}, onData: () => {}, onEnd: () => resolve('answered'), onFailure: resolve })
  })
}

/** A server that records the paths of its requests and answers each. */
const startRecorder = async (): Promise<{ readonly port: number, readonly targets: readonly string[] }> => {
  const targets: string[] = []
  const server = createHttpServer((message, response) => {
    targets.push(message.url ?? '')
    response.end('ok')
  })
  closing.push(() => { server.closeAllConnections() }, () => { server.close() })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return { port: (server.address() as AddressInfo).port, targets }
}

const createClient = (): ExchangeHttp => {
  const client = createExchangeHttp({ clock: createSystemClock(), decodeAnswer, connectTimeoutMs: CONNECT_TIMEOUT_MS })
  closing.push(client.close)
  return client
}

const exchange = (client: ExchangeHttp, request: OutgoingRequest): Promise<ExchangeFailure | 'answered'> => new Promise((resolve) => {
  client.send(request, { maySend: () => true, onSent: () => {}, onHead: () => {}, onData: () => {}, onEnd: () => resolve('answered'), onFailure: resolve })
})

/** Resolves once the request is written. */
const begin = (client: ExchangeHttp, request: OutgoingRequest): Promise<Exchange> => new Promise((resolve) => {
  const begun = client.send(request, { maySend: () => true, onSent: () => { setImmediate(() => resolve(begun)) }, onHead: () => {}, onData: () => {}, onEnd: () => {}, onFailure: () => {} })
})

/** Resolves with what had been noted when the request asked whether it may be sent, and how old the node's reads were then. */
const askAt = (client: ExchangeHttp, request: OutgoingRequest, read: () => string): Promise<{ readonly noted: string, readonly readAgeMs: number }> => new Promise((resolve) => {
  client.send(request, {
    maySend: (readAgeMs) => {
      resolve({ noted: read(), readAgeMs })
      return true
    },
    onSent: () => {},
    onHead: () => {},
    onData: () => {},
    onEnd: () => {},
    onFailure: () => {}
  })
})

/** Blocks the whole thread, as a pause of the process does. */
const block = (ms: number): void => { Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms) }

describe('the question whether a request may be sent', () => {
  const BLOCK_MS = 60

  /** A connection of a caller whose end is noted when it is read. */
  const createCallerSocket = async (): Promise<{ readonly leave: () => void, readonly read: () => string }> => {
    let noted = 'there'
    const gone = new Promise<Socket>((resolve) => {
      const server = createServer({ pauseOnConnect: false }, (socket) => {
        socket.on('end', () => { noted = 'left' })
        socket.resume()
        resolve(socket)
      })
      closing.push(() => { server.close() })
      server.listen(0, '127.0.0.1', () => { caller.connect((server.address() as AddressInfo).port, '127.0.0.1') })
    })
    const caller = new Socket()
    closing.push(() => { caller.destroy() })
    await gone
    return { leave: () => { caller.destroy() }, read: () => noted }
  }

  // Guards against a send on a connection that became ready in the turn in which the caller's close had still to be read.
  test.each([['a new', false], ['an open', true]])('is asked on %s connection after the closes that had arrived were read', async (_, isOpen) => {
    const { port } = await startRecorder()
    const client = createClient()
    if (isOpen) expect(await exchange(client, createRequest(port))).toBe('answered')
    const caller = await createCallerSocket()
    const asked = askAt(client, createRequest(port), caller.read)
    caller.leave()
    expect(await asked).toMatchObject({ noted: 'left' })
  })

  // Guards against a node that stands still between its last reads and a send, and does not know it.
  test('tells how long ago the node began to read', async () => {
    const { port } = await startRecorder()
    const client = createClient()
    expect(await exchange(client, createRequest(port))).toBe('answered')
    const asked = askAt(client, createRequest(port), () => '')
    setImmediate(() => block(BLOCK_MS))
    expect((await asked).readAgeMs).toBeGreaterThanOrEqual(BLOCK_MS)
  })
})

describe('a request that is given up while a network holds it', () => {
  const givingUp: Readonly<Record<string, (client: ExchangeHttp, given: Exchange) => void>> = {
    'its caller has left': (_, given) => given.abort(),
    'the node stops': (client) => client.close()
  }

  // A server would run it seconds later, when it is leaving or another one has run the request.
  test.each(Object.keys(givingUp))('does not arrive once the network heals (%s)', async (why) => {
    const { port, targets } = await startRecorder()
    const proxy = await createFaultProxy(port)
    closing.push(proxy.close)
    const client = createClient()
    await exchange(client, { ...createRequest(proxy.port), target: '/first' })
    proxy.setFault({ kind: 'blackhole' })
    const given = await begin(client, { ...createRequest(proxy.port), target: '/held', method: 'POST', body: Buffer.from('order') })
    givingUp[why]!(client, given)
    await waitFor('the proxy to see the end of the connection', () => proxy.clientEnds() > 0)
    proxy.setFault({ kind: 'none' })
    await exchange(createClient(), { ...createRequest(proxy.port), target: '/last' })
    await waitFor('the proxy to have closed the first connection', () => proxy.connections() <= 1)
    expect(targets).toEqual(['/first', '/last'])
  })
})

describe('bytes that belong to no answer', () => {
  /** A server on bare sockets that answers each request, and writes more when told to. */
  const startTalker = async () => {
    const sockets: Socket[] = []
    const server = createServer((socket) => {
      sockets.push(socket)
      socket.on('error', () => { /* the client resets it */ })
      socket.on('data', () => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok') })
    })
    closing.push(() => { server.close() }, () => { for (const socket of sockets) socket.destroy() })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return { port: (server.address() as AddressInfo).port, sockets }
  }

  const STRAY = [
    ['another answer', 'HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n'],
    ['a part of one', 'HTTP/1.1 5'],
    ['blank bytes', '\r\n']
  ] as const

  test.each(STRAY)('(%s) close an idle connection', async (_, bytes) => {
    const { port, sockets } = await startTalker()
    const client = createClient()
    expect(await exchange(client, createRequest(port))).toBe('answered')
    const closed = new Promise((resolve) => { sockets[0]!.once('close', resolve) })
    sockets[0]!.write(bytes)
    await closed
    expect(await exchange(client, createRequest(port))).toBe('answered')
    expect(sockets).toHaveLength(2)
  })

  // They would be read as the answer to a request that is written right after their arrival.
  test.each(STRAY)('(%s) keep the next request from being written', async (_, bytes) => {
    const { port, sockets } = await startTalker()
    const client = createClient()
    await exchange(client, createRequest(port))
    const closed = new Promise((resolve) => { sockets[0]!.once('close', resolve) })
    const heads: number[] = []
    sockets[0]!.write(bytes)
    const failure = await new Promise<ExchangeFailure | 'answered'>((resolve) => {
      client.send(createRequest(port), { maySend: () => true, onSent: () => {}, onHead: ({ status }) => heads.push(status), onData: () => {}, onEnd: () => resolve('answered'), onFailure: resolve })
    })
    await closed
    expect([heads, failure]).toEqual([[], expect.objectContaining({ kind: 'notSent' })])
  })
})

describe('createExchangeHttp', () => {
  // Guards against connects of 200 ms that took up to a second, in which the callers' deadlines passed.
  test('gives a connection up after the connect timeout, with nothing sent', async () => {
    const gate = await createGate(await startServer())
    closing.push(gate.close)
    await gate.hang()
    const clock = createManualClock()
    const sent = send(clock, gate.port)
    await clock.advanceAndSettle(CONNECT_TIMEOUT_MS)
    expect(await sent).toMatchObject({ kind: 'notSent', message: expect.stringContaining('ETIMEDOUT') })
  })

  test('keeps a connection that opened in time', async () => {
    const clock = createManualClock()
    expect(await send(clock, await startServer())).toBe('answered')
    await clock.advanceAndSettle(2 * CONNECT_TIMEOUT_MS)
  })

  // Keep-alive probes and user timeouts would end a connection that a network only holds up.
  test('sets no TCP keep-alive', async () => {
    const setKeepAlive = vi.spyOn(Socket.prototype, 'setKeepAlive')
    await send(createManualClock(), await startServer())
    expect(setKeepAlive.mock.calls.filter(([isEnabled]) => isEnabled === true)).toEqual([])
  })
})
