import { afterEach, describe, expect, it } from 'vitest'
import { createBackendHttp } from '../src/adapters/backendHttp/index.js'
import { callRouter, type RequestKind } from './_lib/callRouter.js'
import { createDispatchHarness, type DispatchHarness, type HarnessOptions } from './_lib/createDispatchHarness.js'
import {
  answerEvents, answerEventsThenClose, answerEventsThenWait, answerThenClose, answerCompletely, createRawBackend, closeInHeaders, END_EVENT,
  findClosedOrigin, formatEvent, refuseWith, resetConnection, neverAnswer, type RawBackend, type RawStep
} from './_lib/createRawBackend.js'

type TestSetup = { readonly harness: DispatchHarness, readonly backends: readonly RawBackend[] }

type Expected = {
  readonly status: number
  /** `complete`, or the outcome that the refusal states. */
  readonly outcome: 'complete' | 'not-run' | 'unknown'
  readonly code?: string
  /** Number of requests that each backend server received. */
  readonly requests: readonly number[]
  readonly isBroken?: boolean
}

let closers: (() => Promise<void>)[] = []

afterEach(async () => {
  for (const close of closers.reverse()) await close()
  closers = []
})

const start = async (scripts: readonly (readonly RawStep[])[], options: Partial<HarnessOptions> = {}): Promise<TestSetup> => {
  const backends = await Promise.all(scripts.map((steps) => createRawBackend(...steps)))
  closers.push(...backends.map(({ close }) => close))
  const harness = await createDispatchHarness({ origins: backends.map(({ url }) => url), ...options })
  closers.push(harness.close)
  return { harness, backends }
}

const e1 = formatEvent(1, 'one')
const e2 = formatEvent(2, 'two')
const e3 = formatEvent(3, 'three')
const completeStream = e1 + e2 + e3 + END_EVENT
const completeAnswer = answerCompletely('{"ok":true}')
const LOAD_REPORT = '{"running":1,"waiting":0,"slots":1,"leaving":false,"ageMs":0}'
const events = answerEvents([e1, e2, e3, END_EVENT])
const crossedAnswer = answerCompletely('{"secret":1}', { 'x-request-id': 'another' })
const answerWithoutId = answerCompletely('{"secret":1}', { 'x-request-id': '' })
const truncatedBody = answerThenClose({ 'content-type': 'application/json', 'content-length': '50' }, '{"ok":')
const unterminatedChunks = answerThenClose({ 'content-type': 'application/json', 'transfer-encoding': 'chunked' }, '5\r\n{"ok"\r\n')
const answerWithoutLength = answerThenClose({ 'content-type': 'application/json' }, '{"ok":true}')

const complete = (requests: readonly number[]): Expected => ({ status: 200, outcome: 'complete', requests })
const unknown = (requests: readonly number[], code = 'backendFailed'): Expected => ({ status: 502, outcome: 'unknown', code, requests })
const notRun = (requests: readonly number[], code: string): Expected => ({ status: 503, outcome: 'not-run', code, requests })

const readOutcome = (status: number, text: string): string =>
  status < 300 ? 'complete' : JSON.parse(text).error.outcome

describe('a request whose first backend server fails', () => {
  it.each<[string, RequestKind, readonly (readonly RawStep[])[], Expected]>([
    ['reset after reading, repeatable', 'stock', [[resetConnection], [completeAnswer]], complete([1, 1])],
    ['reset after reading, order', 'order', [[resetConnection], [completeAnswer]], unknown([1, 0])],
    ['reset after reading, idempotent at the backend servers', 'settlement', [[resetConnection], [completeAnswer]], complete([1, 1])],
    ['closed within the headers, repeatable', 'stock', [[closeInHeaders], [completeAnswer]], complete([1, 1])],
    ['closed within the headers, order', 'order', [[closeInHeaders], [completeAnswer]], unknown([1, 0])],
    ['body shorter than declared, repeatable', 'stock', [[truncatedBody], [completeAnswer]], complete([1, 1])],
    ['body shorter than declared, order', 'order', [[truncatedBody], [completeAnswer]], unknown([1, 0], 'answerIncomplete')],
    ['chunks without the last one', 'stock', [[unterminatedChunks], [completeAnswer]], complete([1, 1])],
    ['chunks without the last one, order', 'order', [[unterminatedChunks], [completeAnswer]], unknown([1, 0], 'answerIncomplete')],
    ['body without a length, ended by the close, order', 'order', [[answerWithoutLength], [completeAnswer]], unknown([1, 0], 'answerIncomplete')],
    ['model answer with truncated JSON', 'chatWhole', [[answerCompletely('{"ok":')], [completeAnswer]], complete([1, 1])],
    ['documented refusal, repeatable', 'stock', [[refuseWith('overloaded')], [completeAnswer]], complete([1, 1])],
    ['documented refusal, order', 'order', [[refuseWith('leaving')], [completeAnswer]], complete([1, 1])],
    ['documented refusal by all servers, order', 'order', [[refuseWith('leaving')], [refuseWith('overloaded')]], notRun([1, 1], 'noBackendServer')],
    ['refusal with another request\'s id, order', 'order', [[answerCompletely('{}', { 'x-not-run': 'leaving', 'x-request-id': 'another' }, 503)], [completeAnswer]], unknown([1, 0])],
    ['undocumented 503, repeatable', 'stock', [[answerCompletely('{}', {}, 503)], [completeAnswer]], complete([1, 1])],
    ['crossed answer, repeatable', 'stock', [[crossedAnswer], [completeAnswer]], complete([1, 1])],
    ['crossed answer, order', 'order', [[crossedAnswer], [completeAnswer]], unknown([1, 0])],
    ['answer without an id, order', 'order', [[answerWithoutId], [completeAnswer]], unknown([1, 0])],
    ['failed on all servers after it was sent', 'stock', [[resetConnection], [resetConnection]], unknown([1, 1], 'noBackendServer')],
    ['failed after it was sent and then refused, idempotent at the backend servers', 'settlement', [[resetConnection], [refuseWith('overloaded')]], unknown([1, 1], 'noBackendServer')],
    ['fails more often than the maximum number of attempts', 'stock', Array.from({ length: 4 }, () => [resetConnection]), unknown([1, 1, 1, 0])]
  ])('%s', async (_name, kind, scripts, expected) => {
    const { harness, backends } = await start(scripts)
    const answer = await callRouter(harness.url, kind)
    expect(answer.isBroken).toBe(false)
    expect({ status: answer.status, outcome: readOutcome(answer.status, answer.text), requests: backends.map(({ requests }) => requests.filter(({ method }) => method === 'POST').length) })
      .toEqual({ status: expected.status, outcome: expected.outcome, requests: expected.requests })
    if (expected.code !== undefined) expect(JSON.parse(answer.text).error.code).toBe(expected.code)
    else expect(answer.text).toBe('{"ok":true}')
    await harness.dispatch.whenIdle()
    expect(harness.recorded.ended).toEqual(harness.recorded.started)
  })

  it.each<[RequestKind, string | null]>([['stock', null], ['order', 'false']])('reports to client libraries whether a retry is safe: %s', async (kind, shouldRetry) => {
    const { harness } = await start([[resetConnection]], { dispatch: { maximumAttempts: 1 } })
    const { headers } = await callRouter(harness.url, kind)
    expect(headers.get('x-should-retry')).toBe(shouldRetry)
    expect(headers.get('retry-after')).toBe(shouldRetry === null ? '1' : null)
    expect(headers.get('x-request-outcome')).toBe('unknown')
  })

  // Guards against an order that its caller sends again on a promise that its server did not prove.
  it.each([[408, 8_388_608], [421, 8_388_608], [429, 8_388_608], [503, 8_388_608], [503, 3]])('passes a status %i without "x-not-run" on as an unknown outcome of an order (answers held up to %i bytes)', async (status, answerBufferBytes) => {
    const { harness, backends } = await start([[answerCompletely('{"failed":true}', {}, status)], [completeAnswer]], { dispatch: { answerBufferBytes } })
    const { status: passed, text, headers } = await callRouter(harness.url, 'order')
    expect([passed, text, headers.get('x-request-outcome'), headers.get('x-should-retry')]).toEqual([502, '{"failed":true}', 'unknown', 'false'])
    expect(backends.map(({ requests }) => requests.length)).toEqual([1, 0])
    expect(harness.recorded).toMatchObject({ released: [], completed: answerBufferBytes > 3 ? [{ status: 502 }] : [] })
  })

  // Guards against the same in an answer that a router of an earlier release stored.
  it('replays a stored status 429 as an unknown outcome', async () => {
    const { harness } = await start([[completeAnswer]], { claimOutcome: { kind: 'answered', answer: { status: 429, headers: {}, body: Buffer.from('slow down') } } })
    const { status, text, headers } = await callRouter(harness.url, 'order')
    expect([status, text, headers.get('x-request-outcome'), headers.get('x-should-retry'), headers.get('x-idempotent-replay')]).toEqual([502, 'slow down', 'unknown', 'false', 'true'])
  })

  // Guards against the same in the head of a stream.
  it('passes a stream with status 503 and without "x-not-run" on as an unknown outcome, where its route may not be repeated', async () => {
    const { harness, backends } = await start([[answerCompletely(e1 + END_EVENT, { 'content-type': 'text/event-stream' }, 503)], [completeAnswer]])
    const { status, headers } = await callRouter(harness.url, 'agentStream')
    expect([status, headers.get('x-request-outcome'), headers.get('x-should-retry')]).toEqual([502, 'unknown', 'false'])
    expect(backends.map(({ requests }) => requests.filter(({ method }) => method === 'POST').length)).toEqual([1, 0])
  })

  it('releases the claim when every server refused the connection', async () => {
    const { harness } = await start([], { origins: [await findClosedOrigin(), await findClosedOrigin()] })
    const answer = await callRouter(harness.url, 'order')
    expect(readOutcome(answer.status, answer.text)).toBe('not-run')
    expect(harness.recorded).toMatchObject({ released: ['claim-1'], outcomes: ['backend-1 notSent', 'backend-2 notSent'] })
  })

  it('marks a backend server as leaving when it refuses for this reason', async () => {
    const { harness } = await start([[refuseWith('leaving')], [completeAnswer]])
    await callRouter(harness.url, 'stock')
    expect(harness.recorded).toMatchObject({ marked: ['backend-1'], outcomes: ['backend-1 refused', 'backend-2 complete'] })
  })

  it('keeps the claim and stores the answer of an order that ran', async () => {
    const { harness } = await start([[completeAnswer]])
    await callRouter(harness.url, 'order')
    expect(harness.recorded.released).toEqual([])
    expect(harness.recorded.completed.map(({ body }) => Buffer.from(body).toString())).toEqual(['{"ok":true}'])
  })
})

describe('a stream', () => {
  /*
   * Guards against a truncated stream that looks complete, and against events that
   * arrive twice: the engine's connection breaks after some events, and the rest
   * comes over another connection.
   */
  it.each<[string, readonly (readonly RawStep[])[], Expected]>([
    ['complete', [[events]], complete([1])],
    ['broken and resumed', [[answerEventsThenClose([e1, e2]), answerEvents([e3, END_EVENT])]], complete([2])],
    ['resumed with an overlap', [[answerEventsThenClose([e1, e2]), answerEvents([e1, e2, e3, END_EVENT])]], complete([2])],
    ['broken within an event', [[answerEventsThenClose([e1, e2.slice(0, 20)]), answerEvents([e2, e3, END_EVENT])]], complete([2])],
    ['broken twice', [[answerEventsThenClose([e1]), answerEventsThenClose([e2]), answerEvents([e3, END_EVENT])]], complete([3])],
    ['resumed at the second attempt', [[answerEventsThenClose([e1]), resetConnection, answerEvents([e2, e3, END_EVENT])]], complete([3])],
    ['with every event twice', [[answerEvents([e1, e1, e2, e2, e3, e3, END_EVENT])]], complete([1])],
    ['with an event missing once', [[answerEventsThenWait([e1, e3]), answerEvents([e2, e3, END_EVENT])]], complete([2])],
    ['well-formed but without its end marker', [[answerEvents([e1, e2]), answerEvents([e3, END_EVENT])]], complete([2])],
    ['resumed with a crossed answer', [[answerEventsThenClose([e1, e2]), answerEvents([e3, END_EVENT], { 'x-request-id': 'another' }), answerEvents([e3, END_EVENT])]], complete([3])],
    ['broken before its first event', [[answerEventsThenClose([]), resetConnection], [events]], complete([2, 1])],
    ['no longer known at the resume', [[answerEventsThenClose([e1]), answerCompletely('{}', {}, 404)], [events]], { ...unknown([2, 0]), status: 200, isBroken: true }],
    ['broken on a server that then resets all connections', [[answerEventsThenClose([e1]), resetConnection], [events]], { ...unknown([4, 0]), status: 200, isBroken: true }],
    ['that misses the same event at each attempt', [[answerEvents([e1, e3, END_EVENT])]], { ...unknown([4]), status: 200, isBroken: true }]
  ])('%s', async (_name, scripts, expected) => {
    const { harness, backends } = await start(scripts)
    const answer = await callRouter(harness.url, 'chatStream')
    expect(answer.status).toBe(expected.status)
    expect(answer.isBroken).toBe(expected.isBroken ?? false)
    if (expected.outcome === 'complete') expect(answer.text).toBe(completeStream)
    else {
      expect(answer.text).not.toContain('[DONE]')
      expect(answer.text).toContain('"code":"answerIncomplete","outcome":"unknown"')
    }
    await harness.dispatch.whenIdle()
    expect(backends.map(({ requests }) => requests.filter(({ method }) => method !== 'DELETE').length)).toEqual(expected.requests)
    expect(harness.dispatch.ledger()).toMatchObject({ accepted: 1, [expected.outcome]: 1, open: 0 })
    expect(harness.recorded.ended).toEqual(harness.recorded.started)
  })

  /*
   * An overnight batch would fail although its engine is only busy: its stream sends
   * no data for longer than the idle time-out of the connection, several times.
   */
  it('waits for a busy engine beyond the idle time-out', async () => {
    // Each request consumes one step of the script, so probes must not run in between.
    const silent = answerEventsThenWait([])
    const backendClient = createBackendHttp({ connectTimeoutMs: 2_000, answerIdleTimeoutMs: 40 })
    const { harness, backends } = await start([[silent, silent, silent, silent, silent, events], [events]], { backendClient, dispatch: { reachabilityCheckMs: 60_000 } })
    const answer = await callRouter(harness.url, 'chatStream')
    expect([answer.text, backends.map(({ requests }) => requests.length)]).toEqual([completeStream, [6, 0]])
  })

  it('is cancelled on the engine when its caller disconnects', async () => {
    const { harness, backends } = await start([[answerEventsThenWait([e1]), completeAnswer]])
    const controller = new AbortController()
    const response = await fetch(`${harness.url}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'm', stream: true, messages: [{ role: 'user', content: 'u' }] }),
      headers: { authorization: 'Bearer sk-test' },
      signal: controller.signal
    })
    await response.body?.getReader().read()
    controller.abort()
    await harness.dispatch.whenIdle()
    await expect.poll(() => backends[0]?.requests.map(({ method, path }) => `${method} ${path}`)[1]).toMatch(/^DELETE \/v1\/streams\/[0-9a-z-]+$/)
    expect(harness.dispatch.ledger()).toMatchObject({ unknown: 1, open: 0 })
    expect(harness.recorded.outcomes).toEqual([])
  })

  it('ends with an error when the deadline passes during the stream', async () => {
    const { harness } = await start([[answerEventsThenWait([e1])]])
    const answer = await callRouter(harness.url, 'chatStream', { 'x-deadline-ms': '300' })
    expect(answer).toMatchObject({ status: 200, isBroken: true })
    expect(answer.text).toContain('"code":"deadline"')
  })
})

describe('an answer too large to be buffered', () => {
  it.each<[string, RawStep, string, boolean]>([
    ['complete', completeAnswer, '{"ok":true}', false],
    ['truncated', truncatedBody, '{"ok":', true]
  ])('is forwarded as it arrives, and its connection is broken when it is incomplete: %s', async (_name, step, text, isBroken) => {
    const { harness } = await start([[step], [completeAnswer]], { dispatch: { answerBufferBytes: 3 } })
    expect(await callRouter(harness.url, 'stock')).toMatchObject({ status: 200, text, isBroken })
    expect(harness.dispatch.ledger()).toMatchObject({ complete: isBroken ? 0 : 1, unknown: isBroken ? 1 : 0 })
  })
})

describe('a request that passes its deadline', () => {
  it.each<[string, RequestKind, string | null]>([['repeatable', 'stock', '1'], ['order', 'order', null]])('gets its final answer at once: %s', async (_name, kind, retryAfter) => {
    const { harness } = await start([[neverAnswer], [completeAnswer]])
    const answer = await callRouter(harness.url, kind, { 'x-deadline-ms': '300' })
    expect(JSON.parse(answer.text).error).toMatchObject({ code: 'deadline', outcome: 'unknown' })
    expect(answer.status).toBe(504)
    expect(answer.headers.get('retry-after')).toBe(retryAfter)
    expect(harness.recorded.released).toEqual([])
  })
})

describe('a backend server that vanishes without closing its connections', () => {
  /*
   * A caller would wait for a minute and then get an error although five other servers
   * are idle: the VM of the server died, and its open connections show no error.
   */
  it.each<[RequestKind, number, readonly number[]]>([['stock', 200, [1, 1]], ['chatWhole', 200, [1, 1]], ['order', 504, [1, 0]]])('is abandoned only for a request that may be repeated: %s', async (kind, status, requests) => {
    const { harness, backends } = await start([[neverAnswer], [completeAnswer]], { unreachable: ['backend-1'], dispatch: { reachabilityCheckMs: 20 } })
    const answer = await callRouter(harness.url, kind, { 'x-deadline-ms': kind === 'order' ? '300' : '15000' })
    expect([answer.status, backends.map((backend) => backend.requests.filter(({ method }) => method === 'POST').length)]).toEqual([status, requests])
  })

  it('is waited for as long as it answers probes', async () => {
    let finish = (): void => {}
    const { harness, backends } = await start([[(socket, request) => {
      if (request.path === '/load') answerCompletely(LOAD_REPORT)(socket, request)
      else finish = () => completeAnswer(socket, request)
    }], [completeAnswer]], { dispatch: { reachabilityCheckMs: 5 } })
    const pendingAnswer = callRouter(harness.url, 'stock')
    await expect.poll(() => backends[0]?.requests.some(({ path }) => path.startsWith('/stock'))).toBe(true)
    await new Promise((resolve) => setTimeout(resolve, 60))
    finish()
    expect((await pendingAnswer).headers.get('x-served-by')).toBe('backend-1')
  })

  // Guards against an exchange that is aborted before it is known that another one may take its place.
  it.each<[string, readonly (readonly RawStep[])[], Partial<HarnessOptions['dispatch']>]>([
    ['no other one may get the request', [], {}],
    ['no attempt is left', [[completeAnswer]], { maximumAttempts: 1 }]
  ])('is waited for where %s', async (_name, others, limits) => {
    let finish = (): void => {}
    const held: RawStep = (socket, request) => { finish = () => completeAnswer(socket, request) }
    const { harness, backends } = await start([[held], ...others], { unreachable: ['backend-1'], dispatch: { reachabilityCheckMs: 5, ...limits } })
    const pendingAnswer = callRouter(harness.url, 'stock')
    await expect.poll(() => backends[0]?.requests.length).toBe(1)
    await new Promise((resolve) => setTimeout(resolve, 60))
    finish()
    expect((await pendingAnswer).status).toBe(200)
  })
})

describe('a stream that may not be repeated', () => {
  it('is stored completely for a duplicate request', async () => {
    const { harness } = await start([[events]])
    await fetch(`${harness.url}/v1/chat/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'agent', stream: true, messages: [{ role: 'user', content: 'u' }] }),
      headers: { authorization: 'Bearer sk-test', 'idempotency-key': 'k' }
    }).then((response) => response.text())
    await harness.dispatch.whenIdle()
    expect(harness.recorded.completed.map(({ body }) => Buffer.from(body).toString())).toEqual([completeStream])
  })
})
