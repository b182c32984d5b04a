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
