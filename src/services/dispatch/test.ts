import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { CALLER_KEY, createConfiguration, createTestDispatch, MODEL, type HarnessOptions } from '../../../test/_lib/createDispatchHarness.js'
import { failure, success } from '../../kernel/index.js'
import { createDispatch } from './index.js'
import type { BackendAnswer, BackendBodyPart, BackendClient, BackendRequest, CallerAnswer, CallerRequest, ClaimOutcome, Claims, Headers, Result, BackendError } from '../../types/index.js'

/** Result of one attempt, as a backend client reports it. */
type Fault = 'notSent' | 'noAnswer' | 'refused' | 'crossed' | 'cut' | 'broken' | 'hangUp' | 'whole'

const MAY_HAVE_RUN: ReadonlySet<Fault> = new Set(['noAnswer', 'crossed', 'cut', 'broken', 'hangUp', 'whole'])

async function * bodyOf (...parts: readonly BackendBodyPart[]): AsyncGenerator<BackendBodyPart> {
  yield * parts
}

const END: BackendBodyPart = { kind: 'end' }
const CUT: BackendBodyPart = { kind: 'cut', message: 'cut' }
const bytes = (text: string): BackendBodyPart => ({ kind: 'data', bytes: Buffer.from(text) })

const createAnswer = (request: BackendRequest, status: number, headers: Headers, ...parts: readonly BackendBodyPart[]): Result<BackendAnswer, BackendError> =>
  success({ status, headers: { 'x-request-id': request.requestId, ...headers }, body: bodyOf(...parts), abort: () => {} })

const faults: { readonly [Name in Fault]: (request: BackendRequest, hangUp: () => void) => Result<BackendAnswer, BackendError> } = {
  notSent: () => failure({ kind: 'notSent', message: 'refused' }),
  noAnswer: () => failure({ kind: 'noAnswer', message: 'reset' }),
  refused: (request) => createAnswer(request, 503, { 'x-not-run': 'overloaded' }, END),
  crossed: (request) => createAnswer(request, 200, { 'x-request-id': 'another' }, bytes('{}'), END),
  cut: (request) => createAnswer(request, 200, {}, bytes('{'), CUT),
  broken: (request) => createAnswer(request, 502, {}, bytes('{}'), END),
  hangUp: (_request, hangUp) => {
    hangUp()
    return failure({ kind: 'cancelled' })
  },
  whole: (request) => createAnswer(request, 200, {}, bytes('{}'), END)
}

/** A client that injects the listed faults in order; after the last one every send is answered. */
const createFaultyClient = (script: readonly Fault[], hangUp: () => void): { readonly client: BackendClient, readonly sent: Fault[] } => {
  const sent: Fault[] = []
  return {
    sent,
    client: {
      send: async (request) => {
        if (request.method === 'DELETE') return failure({ kind: 'notSent', message: 'the test client sends no DELETE requests' })
        const fault = script[sent.length] ?? 'whole'
        sent.push(fault)
        return faults[fault](request, hangUp)
      },
      readLoad: async () => failure({ kind: 'notSent', message: 'the test client reads no load reports' }),
      close: async () => {}
    }
  }
}

/** A client that withholds its answer until `answerNow` is called, and is cancelled by its signal. */
const createDeferredClient = (): { readonly client: BackendClient, readonly answerNow: () => boolean } => {
  let settle: (() => void) | undefined
  const { client } = createFaultyClient([], () => {})
  return {
    client: {
      ...client,
      send: (request, signal) => new Promise((resolve) => {
        settle = () => resolve(faults.whole(request, () => {}))
        signal.addEventListener('abort', () => resolve(failure({ kind: 'cancelled' })))
      })
    },
    answerNow: () => {
      settle?.()
      return settle !== undefined
    }
  }
}

const createRequest = (given: Partial<CallerRequest> = {}): CallerRequest =>
  ({ requestId: 'r1', method: 'POST', path: '/stock/a', headers: {}, body: Buffer.from('b'), credential: CALLER_KEY, ...given })

const createOrder = (): CallerRequest => createRequest({ path: '/stock/orders', headers: { 'idempotency-key': 'k' } })

const createChat = (headers: Headers = {}, isReturning = false): CallerRequest => createRequest({
  path: '/v1/chat/completions',
  headers,
  body: Buffer.from(JSON.stringify({ model: MODEL, messages: [{ role: 'user', content: 'u' }, ...(isReturning ? [{ role: 'assistant', content: 'a' }] : [])] }))
})

const neverAborted = new AbortController().signal

const run = async (script: readonly Fault[], request: CallerRequest, options: Partial<HarnessOptions> = {}) => {
  const controller = new AbortController()
  const { client, sent } = createFaultyClient(script, () => controller.abort())
  const harness = createTestDispatch({ origins: ['http://a', 'http://b', 'http://c', 'http://d'], backendClient: client, dispatch: { baseDelayMs: 0 }, ...options })
  const answer = await harness.dispatch.handle(request, controller.signal)
  await harness.dispatch.whenIdle()
  return { ...harness, sent, answer }
}

const readRefusal = (answer: CallerAnswer) => answer.kind === 'refused' ? answer.refusal : undefined

describe('dispatch', () => {
  const anyScript = fc.array(fc.constantFrom<Fault>(...Object.keys(faults) as Fault[]), { maxLength: 5 })
  const anyClaim = fc.constantFrom<ClaimOutcome>(
    { kind: 'granted', claimId: 'c1' }, { kind: 'claimedElsewhere', holder: 'n2' }, { kind: 'keyReused' }, { kind: 'unavailable', message: 'down' },
    { kind: 'answered', answer: { status: 200, headers: {}, body: Buffer.from('{}') } }
  )

  /*
   * Guards against duplicate orders: an order that ran is refused as "not-run", so that the
   * caller places it again, or it is sent to a second server while the first one still runs it.
   */
  it('never sends an order again that may have run, and refuses it as "not run" only if no attempt may have run', async () => {
    await fc.assert(fc.asyncProperty(anyScript, anyClaim, async (script, claimOutcome) => {
      const { sent, answer, recorded, dispatch } = await run(script, createOrder(), { claimOutcome })
      const mayHaveRun = sent.filter((fault) => MAY_HAVE_RUN.has(fault))
      expect(mayHaveRun.length).toBeLessThanOrEqual(1)
      if (claimOutcome.kind !== 'granted') expect(sent).toEqual([])
      const isNotRun = readRefusal(answer)?.outcome === 'not-run'
      if (isNotRun) expect(mayHaveRun).toEqual([])
      expect(recorded.released.length).toBe(isNotRun && claimOutcome.kind === 'granted' ? 1 : 0)
      const { accepted, complete, refused, unknown, open } = dispatch.ledger()
      expect([accepted, complete + refused + unknown, open]).toEqual([1, 1, 0])
    }), { seed: 8, numRuns: 400 })
  })

  it('settles every repeatable request once, and counts each attempt once as load', async () => {
    await fc.assert(fc.asyncProperty(anyScript, async (script) => {
      const { sent, answer, recorded, dispatch } = await run(script, createRequest())
      if (readRefusal(answer)?.outcome === 'not-run') expect(sent.filter((fault) => MAY_HAVE_RUN.has(fault))).toEqual([])
      expect(recorded.ended).toEqual(recorded.started)
      expect(recorded.started.length).toBe(sent.length)
      expect(recorded.finishedTickets).toBe(1)
      const { accepted, complete, refused, unknown, open } = dispatch.ledger()
      expect([accepted, complete + refused + unknown, open]).toEqual([1, 1, 0])
    }), { seed: 9, numRuns: 400 })
  })

  it.each<[string, CallerRequest, string, number]>([
    ['a wrong key', { ...createRequest(), credential: 'wrong' }, 'unauthorized', 401],
    ['an unknown path', createRequest({ path: '/other' }), 'unknownRoute', 404],
    ['a path with encoded dot segments', createRequest({ path: '/stock/%2e%2e/stock/orders' }), 'badRequest', 400],
    ['an order whose path is percent-encoded to look like a lookup', createRequest({ path: '/stock/%4Frders' }), 'idempotencyKeyMissing', 400],
    ['an order without a key', createRequest({ path: '/stock/orders' }), 'idempotencyKeyMissing', 400],
    ['an order with a blank key', createRequest({ path: '/stock/orders', headers: { 'idempotency-key': ' ' } }), 'badRequest', 400],
    ['a chat without messages', createRequest({ path: '/v1/chat/completions', body: Buffer.from('{"model":"m"}') }), 'badRequest', 400],
    ['an unknown model', createRequest({ path: '/v1/chat/completions', body: Buffer.from('{"model":"x","messages":[{"role":"user"}]}') }), 'unknownModel', 404],
    ['a deadline that is no number', createRequest({ headers: { 'x-deadline-ms': '1e3' } }), 'badRequest', 400],
    ['a deadline of 0 ms', createRequest({ headers: { 'x-deadline-ms': '0' } }), 'deadline', 504]
  ])('refuses %s as not-run', async (_name, request, reason, status) => {
    const { answer, sent } = await run([], request)
    expect(readRefusal(answer)).toMatchObject({ outcome: 'not-run', reason, status })
    expect(sent).toEqual([])
  })

  it('refuses every request while no configuration is in force', async () => {
    const { answer } = await run([], createRequest(), { configuration: undefined })
    expect(readRefusal(answer)).toMatchObject({ outcome: 'not-run', reason: 'noConfiguration', retryAfterMs: 1_000 })
  })

  it('returns the Retry-After that admission gives', async () => {
    const { answer } = await run([], createRequest(), { admissionRefusal: { reason: 'overShare', retryAfterMs: 2_345 } })
    expect(readRefusal(answer)).toMatchObject({ outcome: 'not-run', reason: 'overShare', status: 429, retryAfterMs: 2_345 })
  })

  it('answers a duplicate order with the stored answer, marked as a replay', async () => {
    const { answer, sent } = await run([], createOrder(), { claimOutcome: { kind: 'answered', answer: { status: 201, headers: { 'x-a': 'b' }, body: Buffer.from('done') } } })
    expect(answer).toMatchObject({ kind: 'whole', status: 201, headers: { 'x-a': 'b', 'x-idempotent-replay': 'true' } })
    expect(sent).toEqual([])
  })

  it('lists the models for authenticated callers only', async () => {
    const request = createRequest({ method: 'GET', path: '/v1/models' })
    expect((await run([], request)).answer).toMatchObject({ kind: 'whole', status: 200 })
    expect(readRefusal((await run([], { ...request, credential: 'wrong' })).answer)?.reason).toBe('unauthorized')
  })

  it('follows the chat hint of its own answer and ignores a forged one', async () => {
    const { answer } = await run([], createChat())
    const hint = answer.kind === 'whole' ? answer.headers['x-chat-hint'] ?? '' : ''
    const returning = createChat({ 'x-chat-hint': hint }, true)
    const forged = createChat({ 'x-chat-hint': hint.replace('v1.', 'v1.x') }, true)
    const cookie = createChat({ cookie: `a=b; dotterelspoke-chat=${hint}` }, true)
    const followed = await Promise.all([returning, forged, cookie].map(async (request) => (await run([], request)).recorded.hints))
    expect(followed).toEqual([['backend-1'], [undefined], ['backend-1']])
  })

  it('looks up the chat directory only for a returning chat without a hint', async () => {
    const options = { directoryEntry: 'backend-3' }
    const [fresh, returning] = await Promise.all([createChat(), createChat({}, true)].map((request) => run([], request, options)))
    expect([fresh?.recorded.hints, returning?.recorded.hints]).toEqual([[undefined], ['backend-3']])
    expect(returning?.recorded.stored).toEqual(['backend-3'])
  })

  it('finds one of 17,000 accounts by the hash of its key', async () => {
    const configuration = createConfiguration(['http://a'])
    const clientAccounts = [...Array.from({ length: 17_000 }, (_, index) => ({ name: `a${index}`, weight: 1, keyHashes: [`${index}`] })), ...configuration.sheet.clientAccounts]
    const { answer } = await run([], createRequest(), { configuration: { ...configuration, sheet: { ...configuration.sheet, clientAccounts } } })
    expect(answer.kind).toBe('whole')
  })

  /*
   * The caller's connection drops while the order runs. A retry with the same key must get the
   * answer of the first order, so that answer is fetched and stored although nobody waits for it.
   */
  it('completes an order whose caller disconnects, and stores the answer', async () => {
    const { client, answerNow } = createDeferredClient()
    const controller = new AbortController()
    const { dispatch, recorded } = createTestDispatch({ origins: ['http://a'], backendClient: client })
    const handled = dispatch.handle(createOrder(), controller.signal)
    await expect.poll(() => recorded.started.length).toBe(1)
    controller.abort()
    await expect.poll(() => answerNow()).toBe(true)
    expect((await handled).kind).toBe('whole')
    await dispatch.whenIdle()
    expect(recorded.completed.length).toBe(1)
  })

  it('ends a lookup at once when its caller disconnects', async () => {
    const { client } = createDeferredClient()
    const controller = new AbortController()
    const { dispatch, recorded } = createTestDispatch({ origins: ['http://a'], backendClient: client })
    const handled = dispatch.handle(createRequest(), controller.signal)
    await expect.poll(() => recorded.started.length).toBe(1)
    controller.abort()
    expect(readRefusal(await handled)).toMatchObject({ outcome: 'unknown', reason: 'cancelled' })
  })

  it('stops waiting for the open request of its key before its own deadline', async () => {
    const waits: (number | undefined)[] = []
    const { dependencies } = createTestDispatch({ origins: ['http://a'], backendClient: createFaultyClient([], () => {}).client })
    const claims: Claims = {
      ...dependencies.claims,
      claim: async (_key, _hash, waitUntil) => {
        waits.push(waitUntil)
        return { kind: 'claimedElsewhere', holder: 'here' }
      }
    }
    const { api } = createDispatch({ ...dependencies, claims, clock: { ...dependencies.clock, now: () => 1_000 } }, { fleetKey: 'f', retryShare: 0, maximumAttempts: 1 })
    await api.handle({ ...createOrder(), headers: { 'idempotency-key': 'k', 'x-deadline-ms': '500' } }, neverAborted)
    expect(waits[0]).toBeLessThan(1_500)
    expect(waits[0]).toBeGreaterThan(1_400)
  })

  it('limits retries to the budget when every server fails', async () => {
    const { client, sent } = createFaultyClient(Array.from({ length: 1_000 }, () => 'notSent'), () => {})
    const { dispatch } = createTestDispatch({ origins: ['http://a', 'http://b', 'http://c'], backendClient: client, dispatch: { baseDelayMs: 0 } })
    for (let request = 0; request < 100; request += 1) await dispatch.handle(createRequest(), neverAborted)
    const retries = sent.length - 100
    expect(retries).toBeLessThanOrEqual(20 + 10)
  })
})
