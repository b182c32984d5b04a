import { EventEmitter, once } from 'node:events'
import { createServer, Socket, connect, type AddressInfo } from 'node:net'
import { afterEach, describe, expect, test, vi } from 'vitest'
import { containEvents, createContainedErrorReporter, type ContainedErrorReporter } from './index.js'
import { createExchangeHttp } from '../exchangeHttp/index.js'
import { createGatewayHttp } from '../gatewayHttp/index.js'
import { createPeerTcp } from '../peerTcp/index.js'
import { createProbeHttp } from '../probeHttp/index.js'
import { createSystemClock } from '../systemClock/index.js'
import { createSystemRandom } from '../systemRandom/index.js'
import { success } from '../../kernel/index.js'
import type { CallerSink, ExchangeListener, GatewayRequest, InstanceAnswer } from '../../types/index.js'

const clock = createSystemClock()
const closing: (() => unknown)[] = []

afterEach(async () => {
  vi.restoreAllMocks()
  for (const close of closing.splice(0).reverse()) await close()
})

const boom = (): never => { throw new Error('injected') }

/** Collects reports as `adapter event`. */
const createReports = (): { readonly reports: string[], readonly report: ContainedErrorReporter } => {
  const reports: string[] = []
  return { reports, report: ({ adapter }, event) => { reports.push(`${adapter} ${event}`) } }
}

/** Starts a server that answers each request with `ok`, or resets the connection for the path `/reset`. */
const startServer = async (): Promise<number> => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.on('data', (bytes) => {
      if (bytes.toString().includes(' /reset ')) return socket.resetAndDestroy()
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    })
    closing.push(() => socket.destroy())
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  closing.push(() => server.close())
  return (server.address() as AddressInfo).port
}

/** Makes the next read of a connection to the port throw, inside of the event that tells of bytes. */
const breakNextRead = (port: number): void => {
  const { read } = Socket.prototype
  let isDue = true
  vi.spyOn(Socket.prototype, 'read').mockImplementation(function (this: Socket, size?: number) {
    if (isDue && size === undefined && this.remotePort === port && this.readableLength > 0) {
      isDue = false
      boom()
    }
    return read.call(this, size) as unknown
  })
}

test('an error in an event is reported once, also one that nobody listens to', () => {
  const lines: unknown[] = []
  const count = vi.fn()
  const report = createContainedErrorReporter({ logger: { error: (message, fields) => lines.push([message, fields]) }, metrics: { count } })
  const emitter = new EventEmitter()
  containEvents(emitter, (error, event) => report({ adapter: 'a', remote: 'b' }, event, error))
  emitter.on('data', boom)
  emitter.emit('data')
  emitter.emit('error', new Error('lost'))
  expect(lines).toEqual([['event failed', { adapter: 'a', remote: 'b', event: 'data', reason: 'Error: injected' }], ['event failed', { adapter: 'a', remote: 'b', event: 'error', reason: 'Error: lost' }]])
  expect(count.mock.calls).toEqual([['contained_errors', { part: 'a' }], ['contained_errors', { part: 'a' }]])
})

describe('an error that is thrown in an event of a connection to a server', () => {
  type Sent = { readonly outcome: Promise<string> }

  const start = async () => {
    const port = await startServer()
    const { reports, report } = createReports()
    const client = createExchangeHttp({ clock, connectTimeoutMs: 200, reportError: report, decodeAnswer: (status) => ({ status }) as InstanceAnswer })
    closing.push(client.close)
    const send = (target: string, listener: Partial<ExchangeListener> = {}): Sent => ({
      outcome: new Promise((resolve) => {
        client.send({ key: 'k', address: { host: '127.0.0.1', port }, method: 'GET', target, headers: ['Host', 'a'], body: new Uint8Array() }, { maySend: () => true, onSent: () => {}, onHead: () => {}, onData: () => {}, onEnd: () => resolve('end'), onFailure: ({ kind }) => resolve(kind), ...listener })
      })
    })
    return { port, reports, send }
  }

  // Guards against an uncaught exception of a library, as of its parser, that ends every request of the process.
  test('breaks that exchange only', async () => {
    const { port, reports, send } = await start()
    breakNextRead(port)
    const outcomes = await Promise.all([send('/1'), send('/2'), send('/3')].map(({ outcome }) => outcome))
    expect(outcomes.toSorted()).toEqual(['broken', 'end', 'end'])
    expect(reports).toEqual(['exchangeHttp readable'])
  })

  test('is reported if it was the listener that threw', async () => {
    const { reports, send } = await start()
    send('/reset', { onFailure: boom })
    expect(await send('/1').outcome).toBe('end')
    await vi.waitFor(() => expect(reports).toEqual([expect.stringMatching(/^exchangeHttp /)]))
  })
})

describe('an error that is thrown for a caller', () => {
  type Run = { readonly submit: () => void, readonly reject: () => void, readonly cancel: () => void }

  const start = async (begin: (request: GatewayRequest, sink: CallerSink) => Run) => {
    const lines: unknown[] = []
    const write = (): void => {}
    const gateway = createGatewayHttp({
      host: '127.0.0.1',
      port: 0,
      clock,
      logger: { error: (_, fields) => { lines.push(fields) }, warn: write, info: write, debug: write },
      dialect: { decodeRequest: ({ method, target, receivedAt }) => success({ requestId: target, method, host: '', target, headers: [], credential: undefined, callerTimeoutMs: undefined, lastEventId: undefined, promptParts: [], tokens: { prompt: 0, output: 0 }, receivedAt }) },
      forwarding: { begin },
      readLimits: () => undefined
    })
    closing.push(gateway.close)
    const { port } = await gateway.listen()
    const call = (target: string): Socket => {
      const socket = connect(port, '127.0.0.1').on('error', () => {})
      socket.write(`GET ${target} HTTP/1.1\r\nHost: a\r\n\r\n`)
      closing.push(() => socket.destroy())
      return socket
    }
    return { lines, call }
  }

  const served = (sink: CallerSink): Run => ({ submit: () => sink.refuse({ status: 503, reason: 'noInstance' }), reject: () => {}, cancel: () => {} })

  const faults: Readonly<Record<string, (sink: CallerSink) => Run>> = {
    request: boom,
    submit: (sink) => ({ ...served(sink), submit: boom }),
    close: (sink) => ({ ...served(sink), submit: () => sink.fail(), cancel: boom })
  }

  // Guards against an uncaught exception in an event of a request, which ends the requests of all other callers.
  test.each(Object.keys(faults))('closes the connection of that caller only (%s)', async (event) => {
    const { lines, call } = await start((request, sink) => request.target === '/fault' ? faults[event]!(sink) : served(sink))
    const faulty = call('/fault')
    const other = call('/1')
    const [[bytes]] = await Promise.all([once(other, 'data'), once(faulty.resume(), 'close')])
    expect(String(bytes)).toMatch(/^HTTP\/1.1 503/)
    await vi.waitFor(() => expect(lines).toContainEqual(expect.objectContaining({ adapter: 'gatewayHttp', event, request: 'GET /fault' })))
  })
})

describe('an error that is thrown in an event of a peer', () => {
  // Guards against an uncaught exception while a connection is accepted or read, which ends every request of the process.
  test.each([['connection', 1], ['data', 2]])('closes that connection only (%s)', async (event, failingCount) => {
    const { reports, report } = createReports()
    let counts = 0
    const count = (): void => { if (++counts === failingCount) boom() }
    const options = { host: '127.0.0.1', port: 0, fleetKey: 'key', maximumFrameBytes: 4_096, initialBackoffMs: 1, maximumBackoffMs: 1, clock, random: createSystemRandom() }
    const listener = createPeerTcp({ ...options, reportError: report, metrics: { count } as never })
    const dialer = createPeerTcp(options)
    closing.push(listener.close, dialer.close)
    listener.handle('directoryLookup', ({ chatKey }) => ({ kind: 'directoryEntry', backendServer: chatKey }))
    const address = await listener.listen()
    const ask = () => dialer.request(address, { kind: 'directoryLookup', chatKey: 'c' }, 2_000)
    expect(await ask()).toMatchObject({ ok: false })
    await vi.waitFor(async () => expect(await ask()).toMatchObject({ ok: true }))
    expect(reports).toEqual([`peerTcp ${event}`])
  })
})

// Guards against a handler that throws at once, which ended the process of the load balancer's question.
test('an error that is thrown by the handler of a probe closes that connection only', async () => {
  const { reports, report } = createReports()
  const probe = createProbeHttp({ host: '127.0.0.1', port: 0 }, { '/fault': boom, '/ready': () => ({ status: 200, body: 'ready' }) }, { part: 'test', reportError: report })
  closing.push(probe.close)
  const { port } = await probe.listen()
  await expect(fetch(`http://127.0.0.1:${port}/fault`)).rejects.toThrow()
  expect((await fetch(`http://127.0.0.1:${port}/ready`)).status).toBe(200)
  expect(reports).toEqual(['probeHttp request'])
})
