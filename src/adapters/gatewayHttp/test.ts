import { connect, type Socket } from 'node:net'
import { afterEach, describe, expect, test } from 'vitest'
import { createSystemClock } from '../systemClock/index.js'
import { success } from '../../kernel/index.js'
import { createGatewayHttp, type GatewayHttp } from './index.js'
import type { CallerSink, GatewayRequest, HeldBytes, PeerAddress } from '../../types/index.js'

const REQUEST = 'GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n'
const IDLE_TIMEOUT_MS = 1_000

const closing: (() => void)[] = []

afterEach(() => { for (const close of closing.splice(0).reverse()) close() })

/** Answers each request at once. */
const answer = (_request: GatewayRequest, sink: CallerSink) => ({
  submit: () => sink.refuse({ status: 503, reason: 'noInstance' }),
  reject: () => {},
  cancel: () => {}
})

type OpenOptions = { readonly begin?: typeof answer, readonly heldBytes?: Pick<HeldBytes, 'open' | 'hasRoomFor'> }

const open = async ({ begin = answer, heldBytes }: OpenOptions = {}): Promise<{ readonly gateway: GatewayHttp, readonly address: PeerAddress }> => {
  const write = (): void => {}
  const gateway = createGatewayHttp({
    host: '127.0.0.1',
    port: 0,
    clock: createSystemClock(),
    logger: { error: write, warn: write, info: write, debug: write },
    dialect: { decodeRequest: ({ method, target, receivedAt }) => success({ requestId: 'r1', method, host: '', target, headers: [], credential: undefined, callerTimeoutMs: undefined, lastEventId: undefined, promptParts: [], tokens: { prompt: 0, output: 0 }, receivedAt }) },
    forwarding: { begin },
    heldBytes,
    readLimits: () => ({ maximumHeaderBytes: 16_384, maximumBodyBytes: 1_024, headerTimeoutMs: 3_000, idleTimeoutMs: IDLE_TIMEOUT_MS })
  })
  closing.push(gateway.close)
  return { gateway, address: await gateway.listen() }
}

const openConnection = ({ host, port }: PeerAddress): Socket => {
  const socket = connect({ host, port, noDelay: true })
  closing.push(() => { socket.destroy() })
  return socket
}

/** Resolves with the status line of the next answer, or `undefined` when the connection ends before it. */
const readStatus = (socket: Socket): Promise<string | undefined> => new Promise((resolve) => {
  socket.once('data', (chunk: Buffer) => resolve(chunk.toString().split('\r\n')[0]))
  socket.once('close', () => resolve(undefined))
})

/** Blocks the whole thread, as a pause of the process does. */
const block = (ms: number): void => { Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms) }

const SERVED = 'HTTP/1.1 503 Service Unavailable'

describe('the listener for callers', () => {
  // Guards against a kept connection that is closed although the next request on it lies in the kernel.
  test('reads what has arrived before it closes idle connections', async () => {
    const { gateway, address } = await open()
    const socket = openConnection(address)
    socket.write(REQUEST)
    expect(await readStatus(socket)).toBe(SERVED)
    block(300)
    const status = readStatus(socket)
    socket.write(REQUEST)
    gateway.closeIdle()
    expect(await status).toBe(SERVED)
  })

  // Guards against the idle timeout of a process that was paused, which ended before what had arrived meanwhile was read.
  test('reads what has arrived before it closes a connection for its idle timeout', async () => {
    const { address } = await open()
    const socket = openConnection(address)
    socket.write(REQUEST)
    expect(await readStatus(socket)).toBe(SERVED)
    const status = readStatus(socket)
    socket.write(REQUEST)
    block(2 * IDLE_TIMEOUT_MS)
    expect(await status).toBe(SERVED)
  })

  test('closes a connection after its idle timeout', async () => {
    const { address } = await open()
    const socket = openConnection(address)
    socket.write(REQUEST)
    expect(await readStatus(socket)).toBe(SERVED)
    expect(await readStatus(socket)).toBeUndefined()
  })

  test('waits for the first request of a new connection, and for one that is partly received', async () => {
    const { gateway, address } = await open()
    const socket = openConnection(address)
    await new Promise<void>((resolve) => { socket.once('connect', resolve) })
    while (gateway.openConnections() === 0) await new Promise<void>((resolve) => { setImmediate(resolve) })
    expect(gateway.awaitsRequests()).toBe(true)
    gateway.closeIdle()
    socket.write(REQUEST)
    expect(await readStatus(socket)).toBe(SERVED)
    socket.write(REQUEST.slice(0, 10))
    block(300)
    await new Promise<void>((resolve) => { setTimeout(resolve, 0) })
    gateway.closeIdle()
    const status = readStatus(socket)
    socket.write(REQUEST.slice(10))
    expect(await status).toBe(SERVED)
  })
})

describe('a request that has its final answer before its body is in', () => {
  /** Refuses each request as soon as its head is in. */
  const refuse = (_request: GatewayRequest, sink: CallerSink) => {
    sink.refuse({ status: 401, reason: 'unknownKey' })
    return { submit: () => {}, reject: () => {}, cancel: () => {} }
  }

  // Guards against bodies that are gathered for nobody and that the bound of the memory does not count.
  test('keeps nothing of the rest', async () => {
    const gathered: number[] = []
    const entry = { recordBody: (bytes: number) => { gathered.push(bytes); return true }, recordBuffered: () => {}, recordWrite: () => true, recordRead: () => {}, onResume: () => {}, readAllowance: () => Infinity, close: () => {} }
    const { address } = await open({ begin: refuse, heldBytes: { open: () => entry, hasRoomFor: () => true } })
    const socket = openConnection(address)
    socket.write('POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nx')
    expect(await readStatus(socket)).toBe('HTTP/1.1 401 Unauthorized')
    const before = gathered.length
    socket.write('x'.repeat(500))
    await new Promise<void>((resolve) => { setTimeout(resolve, 20) })
    // The rest is read all the same, and the next request on the connection is answered.
    socket.write('x'.repeat(499) + REQUEST)
    expect(await readStatus(socket)).toBe('HTTP/1.1 401 Unauthorized')
    expect(gathered.slice(before)).toEqual([])
  })
})
