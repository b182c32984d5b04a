import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import type { AnswerPart, CallerAnswer, CallerRequest, Dispatch, Logger } from '../../types/index.js'
import { createRefusal } from '../../decisions/createRefusal/index.js'
import { afterTurn } from '../afterTurn/index.js'
import { createSeededRandom } from '../seededRandom/index.js'
import { createSystemClock } from '../systemClock/index.js'
import { createCallerHttp, type CallerHttp, type CallerHttpOptions } from './index.js'

const SILENT_LOGGER: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
const OK: CallerAnswer = { kind: 'whole', status: 200, headers: { 'content-type': 'text/plain' }, body: Buffer.from('ok') }
const REFUSAL = createRefusal('unknown', 'backendFailed', 'it failed', 1_200)

type Listener = { readonly callerHttp: CallerHttp, readonly url: string, readonly port: number, readonly handled: CallerRequest[], readonly signals: AbortSignal[] }

let closers: (() => Promise<void>)[] = []

afterEach(async () => {
  for (const close of closers.reverse()) await close()
  closers = []
})

const startListener = async (answer: (signal: AbortSignal) => CallerAnswer | Promise<CallerAnswer>, options: Partial<CallerHttpOptions> = {}): Promise<Listener> => {
  const handled: CallerRequest[] = []
  const signals: AbortSignal[] = []
  const dispatch: Dispatch = {
    handle: async (request, signal) => {
      handled.push(request)
      signals.push(signal)
      return await answer(signal)
    },
    ledger: () => ({ accepted: 0, complete: 0, refused: 0, unknown: 0, open: 0 }),
    oldestOpenMs: () => 0,
    whenIdle: async () => {}
  }
  const callerHttp = createCallerHttp({ dispatch, clock: createSystemClock(), random: createSeededRandom(1), logger: SILENT_LOGGER }, { host: '127.0.0.1', port: 0, maximumBodyBytes: 1_000, ...options })
  const { port } = await callerHttp.listen()
  closers.push(callerHttp.close)
  return { callerHttp, url: `http://127.0.0.1:${port}`, port, handled, signals }
}

/** Sends raw bytes and returns everything received until the connection closes. */
const exchangeRaw = (port: number, text: string): Promise<string> => new Promise((resolve) => {
  let received = ''
  const socket = connect(port, '127.0.0.1', () => { socket.write(text) })
  socket.setEncoding('latin1')
  socket.on('data', (chunk) => { received += String(chunk) })
  socket.on('error', () => {})
  socket.on('close', () => resolve(received))
})

async function * streamParts (...parts: readonly AnswerPart[]): AsyncGenerator<AnswerPart> {
  yield * parts
}

const streamOf = (...parts: readonly AnswerPart[]): CallerAnswer =>
  ({ kind: 'stream', status: 200, headers: { 'content-type': 'text/event-stream' }, parts: streamParts(...parts) })

const data = (text: string): AnswerPart => ({ kind: 'data', bytes: Buffer.from(text) })

const formatRequest = (...lines: readonly string[]): string => [...lines, 'Connection: close', '', ''].join('\r\n')

describe('a request that two parsers could read differently', () => {
  /*
   * Guards against request smuggling: when two servers disagree about where a
   * request ends, an order that is hidden in the body of a stock lookup runs
   * under another caller's account. None of these may reach dispatch.
   */
  it.each([
    ['length and chunks', formatRequest('POST /a HTTP/1.1', 'Host: h', 'Content-Length: 3', 'Transfer-Encoding: chunked') + '0\r\n\r\n'],
    ['two lengths', formatRequest('POST /a HTTP/1.1', 'Host: h', 'Content-Length: 3', 'Content-Length: 4') + 'abcd'],
    ['a signed length', formatRequest('POST /a HTTP/1.1', 'Host: h', 'Content-Length: +3') + 'abc'],
    ['an unknown transfer coding', formatRequest('POST /a HTTP/1.1', 'Host: h', 'Transfer-Encoding: xchunked') + '0\r\n\r\n'],
    ['a space before the colon', formatRequest('POST /a HTTP/1.1', 'Host: h', 'Content-Length : 3') + 'abc'],
    ['a bare line feed', 'POST /a HTTP/1.1\nHost: h\nContent-Length: 0\n\n'],
    ['a broken chunk size', formatRequest('POST /a HTTP/1.1', 'Host: h', 'Transfer-Encoding: chunked') + 'zz\r\nabc\r\n0\r\n\r\n'],
    ['no host', formatRequest('GET /a HTTP/1.1')],
    ['a lookup with a body', formatRequest('GET /a HTTP/1.1', 'Host: h', 'Content-Length: 3') + 'abc'],
    ['headers over the limit', formatRequest('GET /a HTTP/1.1', 'Host: h', `X-Long: ${'y'.repeat(40_000)}`)]
  ])('is refused: %s', async (_name, text) => {
    const { port, handled } = await startListener(() => OK)
    expect(await exchangeRaw(port, text)).toMatch(/^HTTP\/1\.1 4\d\d /)
    expect(handled).toEqual([])
  })

  it('has its folded header read as one value, or is refused, but is never read as two headers', async () => {
    const { port, handled } = await startListener(() => OK)
    await exchangeRaw(port, formatRequest('GET /a HTTP/1.1', 'Host: h', 'X-One: 1', ' X-Client-Account: rival'))
    expect(handled.map(({ headers }) => headers['x-client-account'])).not.toContain('rival')
  })

  it.each(['http://other/orders', '//other/orders', '/a/../orders', '/a/%2e%2e/orders', '/a%2forders', '*'])('reaches dispatch with its target unchanged, or not at all: %s', async (target) => {
    const { port, handled } = await startListener(() => OK)
    await exchangeRaw(port, formatRequest(`GET ${target} HTTP/1.1`, 'Host: h'))
    expect(handled.every(({ path }) => path === target)).toBe(true)
  })
})

describe('the listener for callers', () => {
  it('passes method, target, headers, body and key to dispatch', async () => {
    const { url, handled } = await startListener(() => OK)
    await fetch(`${url}/stock/a?b=c`, { method: 'PUT', body: 'xyz', headers: { authorization: 'Bearer sk-1', 'x-chat-id': '7' } })
    expect(handled[0]).toMatchObject({ method: 'PUT', path: '/stock/a?b=c', credential: 'sk-1', headers: { 'x-chat-id': '7' } })
    expect(Buffer.from(handled[0]?.body ?? []).toString()).toBe('xyz')
  })

  it('refuses a body over the limit', async () => {
    const { url, handled } = await startListener(() => OK)
    const answer = await fetch(url, { method: 'POST', body: 'x'.repeat(1_001) })
    expect([answer.status, answer.headers.get('x-request-outcome'), handled.length]).toEqual([413, 'not-run', 0])
  })

  // Guards against slow connections that send a header line now and then, and so use up all connections.
  it('closes a connection whose headers are not complete in time', async () => {
    const { port, handled } = await startListener(() => OK, { headerTimeoutMs: 50 })
    const received = await exchangeRaw(port, 'GET /a HTTP/1.1\r\nHost: h\r\n')
    expect([received.slice(0, 12), handled.length]).toEqual(['HTTP/1.1 408', 0])
  })

  it('refuses a body that exceeds the budget, and accepts it when there is room again', async () => {
    let finish: (answer: CallerAnswer) => void = () => {}
    const answers = new Promise<CallerAnswer>((resolve) => { finish = resolve })
    const { url, handled } = await startListener(() => answers, { maximumBufferedBytes: 1_500 })
    const send = (): Promise<Response> => fetch(url, { method: 'POST', body: 'x'.repeat(900) })
    const first = send()
    await expect.poll(() => handled.length).toBe(1)
    const second = await send()
    expect([second.status, second.headers.get('x-request-outcome'), second.headers.get('retry-after')]).toEqual([503, 'not-run', '1'])
    finish(OK)
    await first
    await expect.poll(async () => (await send()).status).toBe(200)
  })

  it('closes the connection when an answer cannot be written', async () => {
    const { port } = await startListener(() => ({ ...OK, headers: { 'x-bad': 'a\nb' } }))
    expect(await exchangeRaw(port, formatRequest('GET / HTTP/1.1', 'Host: h'))).toBe('')
  })

  it('writes a refusal with its outcome and the time to retry after', async () => {
    const { url } = await startListener(() => ({ kind: 'refused', refusal: REFUSAL }))
    const answer = await fetch(url)
    expect(Object.fromEntries(['x-request-outcome', 'retry-after', 'retry-after-ms', 'x-should-retry'].map((name) => [name, answer.headers.get(name)])))
      .toEqual({ 'x-request-outcome': 'unknown', 'retry-after': '2', 'retry-after-ms': '1200', 'x-should-retry': null })
    expect(await answer.json()).toEqual({ error: { message: 'it failed', type: 'server_error', code: 'backendFailed', outcome: 'unknown', retry_after_ms: 1_200 } })
  })

  it('writes each cookie as a header of its own', async () => {
    const { url } = await startListener(() => ({ ...OK, headers: { 'set-cookie': 'a=1; Expires=Thu, 01 Jan 2099 00:00:00 GMT\nb=2' } }))
    expect((await fetch(url)).headers.getSetCookie()).toEqual(['a=1; Expires=Thu, 01 Jan 2099 00:00:00 GMT', 'b=2'])
  })

  it('forwards a stream to its end', async () => {
    const { url } = await startListener(() => streamOf(data('data: 1\n\n'), data('data: [DONE]\n\n'), { kind: 'end' }))
    expect(await (await fetch(url)).text()).toBe('data: 1\n\ndata: [DONE]\n\n')
  })

  it('ends a failed stream with an error event and without the last chunk', async () => {
    const { port } = await startListener(() => streamOf(data('data: 1\n\n'), { kind: 'failed', refusal: REFUSAL }))
    const received = await exchangeRaw(port, formatRequest('GET / HTTP/1.1', 'Host: h'))
    expect(received).toContain('data: {"error":{"message":"it failed"')
    expect(received).not.toContain('\r\n0\r\n')
  })

  it('aborts the request of a caller that disconnects', async () => {
    const { port, signals } = await startListener(() => new Promise(() => {}))
    const socket = connect(port, '127.0.0.1', () => { socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n') })
    await expect.poll(() => signals.length).toBe(1)
    socket.destroy()
    await expect.poll(() => signals[0]?.aborted).toBe(true)
  })

  it('disconnects a caller that never reads its stream', async () => {
    async function * endlessParts (): AsyncGenerator<AnswerPart> {
      for (;;) yield { kind: 'data', bytes: Buffer.alloc(65_536) }
    }
    const { port, signals } = await startListener(() => ({ kind: 'stream', status: 200, headers: {}, parts: endlessParts() }), { writeTimeoutMs: 50 })
    const socket = connect(port, '127.0.0.1', () => { socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n') })
    socket.on('error', () => {})
    socket.pause()
    await expect.poll(() => signals[0]?.aborted, { timeout: 10_000 }).toBe(true)
    socket.destroy()
  })

  it('reports when it is ready', async () => {
    const { url, callerHttp } = await startListener(() => OK)
    const before = (await fetch(`${url}/readyz`)).status
    callerHttp.setReady(true)
    expect([before, (await fetch(`${url}/readyz`)).status, (await fetch(`${url}/healthz`)).status]).toEqual([503, 200, 200])
  })

  it('waits for a request in flight before it closes', async () => {
    let finish: (answer: CallerAnswer) => void = () => {}
    const { url, callerHttp, handled } = await startListener(() => new Promise((resolve) => { finish = resolve }))
    const pending = fetch(url)
    await expect.poll(() => handled.length).toBe(1)
    const closed = callerHttp.close()
    finish(OK)
    expect(await (await pending).text()).toBe('ok')
    await closed
  })
})

describe('a caller that leaves', () => {
  // Guards against sends for callers whose close is known only once their connection is closed, several turns of the event loop after it was read.
  it('aborts its request two check phases after it was read, if it left at once', async () => {
    const aborts: boolean[] = []
    const { port, handled } = await startListener(async (signal) => {
      await new Promise<void>(afterTurn)
      aborts.push(signal.aborted)
      return OK
    })
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(formatRequest('GET /a HTTP/1.1', 'Host: h'))
      socket.destroy()
    })
    while (aborts.length === 0) await new Promise((resolve) => { setImmediate(resolve) })
    expect([handled.length, aborts]).toEqual([1, [true]])
  })
})

describe('bytes that are no request, behind a request that is being served', () => {
  // Guards against an order that is answered 408 or 400 while it runs: its caller takes the next answer on the connection for its own.
  it.each([
    ['a head that is not completed in time', 'GET /b HTTP/1.1\r\nHost: h\r\n'],
    ['bytes that can\'t be parsed', 'nonsense\r\n\r\n']
  ])('end the connection without an answer: %s', async (_name, bytes) => {
    let finish = (): void => {}
    const { port, handled } = await startListener(() => new Promise((resolve) => { finish = () => resolve(OK) }), { headerTimeoutMs: 100 })
    const received = await exchangeRaw(port, `POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx${bytes}`)
    finish()
    expect([received, handled.length]).toEqual(['', 1])
  })

  it('are answered where nothing is being served', async () => {
    const { port } = await startListener(() => OK, { headerTimeoutMs: 100 })
    expect(await exchangeRaw(port, 'GET /b HTTP/1.1\r\nHost: h\r\n')).toMatch(/^HTTP\/1.1 408 /)
    expect(await exchangeRaw(port, 'nonsense\r\n\r\n')).toMatch(/^HTTP\/1.1 400 /)
  })
})
