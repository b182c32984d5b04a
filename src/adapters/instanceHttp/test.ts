import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { createInstanceHttp } from './index.js'
import { createSystemClock } from '../systemClock/index.js'
import type { BackendInstance, ExchangeFailure, GatewayAttempt, InstanceClient } from '../../types/index.js'

const CONNECTED = 'undici:client:connected'

const closing: (() => void)[] = []

afterEach(() => { for (const close of closing.splice(0)) close() })

const createClient = (): InstanceClient => {
  const client = createInstanceHttp({
    clock: createSystemClock(),
    dialect: {
      encodeAttempt: () => ['Host', 'a.example'],
      decodeAnswer: (status, headers) => ({ backoffMs: undefined, isLeaving: false, status, headers, requestId: undefined, isSigned: false, isNotRun: false, isOtherInstance: false, load: undefined, contentLength: undefined, isEventStream: false, isEncoded: false })
    }
  })
  closing.push(client.close)
  return client
}

/** Starts a server that reads requests and never answers. */
const startSilentServer = async (onRequest: () => void): Promise<number> => {
  const sockets: Socket[] = []
  const server: Server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => { /* the client aborts */ })
    socket.on('data', onRequest)
  })
  closing.push(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return (server.address() as AddressInfo).port
}

const createAttempt = (port: number): GatewayAttempt => {
  const instance: BackendInstance = { id: 'i-1', service: 's', address: { host: '127.0.0.1', port }, availabilityZone: 'a', slots: 1, isLeaving: false, incarnation: 1, warmUpMs: 0 }
  return {
    request: { requestId: 'r1', method: 'POST', host: 'a.example', target: '/order/1', headers: [], credential: undefined, callerTimeoutMs: undefined, lastEventId: undefined, promptParts: [], tokens: { prompt: 0, output: 0 }, receivedAt: 0 },
    body: Buffer.from('two loaves'),
    instance,
    account: undefined,
    remainingMs: 1_000,
    priority: 0,
    resumeAfter: undefined,
    copyPromptFrom: undefined
  }
}

const sendAndFail = (client: InstanceClient, port: number, maySend = (): boolean => true): Promise<ExchangeFailure> => new Promise((resolve) => {
  client.send(createAttempt(port), { maySend, onSent: () => {}, onHead: () => {}, onData: () => {}, onEnd: () => {}, onFailure: resolve })
})

describe('createInstanceHttp', () => {
  // Guards against reporting a request as not sent when its connection is lost after the request was sent, with the error code of a failed connect.
  test.each(['ETIMEDOUT', 'EHOSTUNREACH', 'ENETUNREACH', 'ECONNREFUSED'])('does not report a request as not sent on %s after it was sent', async (code) => {
    const sockets: Socket[] = []
    const onConnected = (message: unknown): void => { sockets.push((message as { readonly socket: Socket }).socket) }
    subscribe(CONNECTED, onConnected)
    closing.push(() => { unsubscribe(CONNECTED, onConnected) })
    const port = await startSilentServer(() => sockets[0]?.destroy(Object.assign(new Error('the route to the server is lost'), { code })))
    expect((await sendAndFail(createClient(), port)).kind).toBe('broken')
  })

  test('reports a failed connect as not sent', async () => {
    const server = createServer()
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    await new Promise<void>((resolve) => { server.close(() => resolve()) })
    expect((await sendAndFail(createClient(), port)).kind).toBe('notSent')
  })

  // Guards against requests that were selected before the server asked for a backoff and reach it within it.
  test('writes nothing on a new connection when the request may not be sent any more', async () => {
    let isRequested = false
    const port = await startSilentServer(() => { isRequested = true })
    expect((await sendAndFail(createClient(), port, () => false)).kind).toBe('withdrawn')
    expect(isRequested).toBe(false)
  })
})
