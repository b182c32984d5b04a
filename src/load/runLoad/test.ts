import fastify, { type FastifyReply } from 'fastify'
import { afterEach, describe, expect, it } from 'vitest'
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import { createSystemClock } from '../../adapters/systemClock/index.js'
import { createModelEngineServer, type ModelEngineServer } from '../../emulator/createModelEngineServer/index.js'
import { createPlainServiceServer } from '../../emulator/createPlainServiceServer/index.js'
import type { LoadSummary } from '../createLoadRecorder/index.js'
import { formatLoadSummary } from '../formatLoadSummary/index.js'
import { DEFAULT_LOAD_PLAN, planLoad, type LoadPlanOptions } from '../planLoad/index.js'
import { runLoad, type LoadRunOptions } from './index.js'

const clock = createSystemClock()
const closers: (() => Promise<unknown>)[] = []

afterEach(async () => {
  for (const close of closers.splice(0)) await close()
})

const CHATS = { chat: 1, overnight: 0, lookup: 0, order: 0 }
const PLAIN_CALLS = { chat: 0, overnight: 0, lookup: 1, order: 1 }

const startEngine = async (): Promise<ModelEngineServer> => {
  const server = await createModelEngineServer({ clock, engine: { decodeIntervalMs: 0, decodeIntervalPerRequestMs: 0, prefillTokensPerSecond: 1e6 } })
  closers.push(server.close)
  return server
}

const run = (url: string, plan: Partial<LoadPlanOptions>, options: Partial<LoadRunOptions> = {}): Promise<LoadSummary> => {
  const planned = planLoad({ ...DEFAULT_LOAD_PLAN, rate: 500, maximumRequests: 30, meanThinkTimeMs: 1, answerTimePerTokenMs: 0, answerTokens: 8, ...plan }, createSeededRandom(3))
  return runLoad(planned, { clock, routers: [url], keys: ['key'], sendChatHints: true, timeoutMs: 20_000, maximumOpen: 100, ...options })
}

const startFakeRouter = async (answer: (reply: FastifyReply) => unknown): Promise<string> => {
  const server = fastify({ forceCloseConnections: true })
  server.post('/v1/chat/completions', async (_request, reply) => answer(reply))
  closers.push(() => server.close())
  return server.listen({ host: '127.0.0.1', port: 0 })
}

describe('runLoad', () => {
  it('counts every chat request as complete when all answers are complete', async () => {
    const server = await startEngine()
    const summary = await run(server.url, { mix: { ...CHATS, overnight: 1 } })
    expect(summary.outcomes).toEqual({ complete: 30, refusedNotRun: 0, refusedUnknown: 0, broken: 0, wrong: 0 })
    expect(Object.keys(summary.outcomesByKind).sort()).toEqual(['chat', 'overnight'])
    expect([summary.latencies.firstToken.count, summary.latencies.wholeAnswer.count]).toEqual([summary.outcomesByKind['chat']!.complete, 30])
  })

  it('reports cached tokens for chats that continue', async () => {
    const summary = await run((await startEngine()).url, { mix: CHATS, rate: 20, meanThinkTimeMs: 60, returningShare: 1, maximumTurns: 30 })
    expect(summary.cache.returning).toBeGreaterThan(5)
    expect(summary.cache.cachedTokens).toBeGreaterThan(0)
    expect(summary.cache.tokenShare).toBeCloseTo(summary.cache.cachedTokens / summary.cache.promptTokens)
  })

  it('counts plain requests as complete when each gets its own answer', async () => {
    const server = await createPlainServiceServer({ clock, delayMs: 1 })
    closers.push(server.close)
    const summary = await run(server.url, { mix: PLAIN_CALLS })
    expect([summary.outcomes.complete, summary.latencies.plainCall.count]).toEqual([30, 30])
  })

  it.each([
    ['cutAnswer', { broken: 1 }],
    ['truncateAnswer', { broken: 1 }],
    ['crossedAnswer', { wrong: 1 }],
    ['duplicateEvent', { wrong: 1 }],
    ['resetAfterRead', { broken: 1 }]
  ])('detects one answer with the fault %s among complete ones', async (fault, expected) => {
    const server = await startEngine()
    server.faults.apply({ fault, count: 1, after: 1 })
    expect((await run(server.url, { mix: CHATS, answerTokens: 30 })).outcomes).toMatchObject({ complete: 29, ...expected })
  })

  it.each(['cutAnswer', 'truncateAnswer'])('detects an answer of a plain service with the fault %s', async (fault) => {
    const server = await createPlainServiceServer({ clock, delayMs: 1 })
    closers.push(server.close)
    server.faults.apply({ fault, count: 1, after: 1 })
    expect((await run(server.url, { mix: PLAIN_CALLS })).outcomes).toMatchObject({ complete: 29, broken: 1 })
  })

  it.each([
    ['not-run', 'refusedNotRun'],
    ['unknown', 'refusedUnknown']
  ])('counts a refusal with outcome %s as %s, with its reason', async (outcome, expected) => {
    const url = await startFakeRouter((reply) => reply.code(503).send({ error: { message: '', code: 'queueFull', outcome } }))
    const summary = await run(url, { mix: CHATS })
    expect([summary.outcomes, summary.reasons]).toMatchObject([{ [expected]: 30, broken: 0 }, { [`${expected}: queueFull`]: 30 }])
  })

  it('counts an error without an outcome as broken', async () => {
    const url = await startFakeRouter((reply) => reply.code(500).send({ error: { message: 'oops' } }))
    expect((await run(url, { mix: CHATS })).outcomes).toMatchObject({ broken: 30 })
  })

  // The socket is destroyed after the error event, so the stream could be counted as broken.
  it('counts a stream that ends in an error event as refused', async () => {
    const url = await startFakeRouter((reply) => {
      reply.hijack()
      reply.raw.writeHead(200, { 'content-type': 'text/event-stream' })
      reply.raw.write('data: {"error":{"message":"","code":"answerIncomplete","outcome":"unknown"}}\n\n', () => reply.raw.socket?.destroy())
    })
    const summary = await run(url, { mix: CHATS })
    expect(summary.reasons).toEqual({ 'refusedUnknown: answerIncomplete': 30 })
  })

  it('counts the answers of each backend server', async () => {
    const engine = await startEngine()
    let count = 0
    const url = await startFakeRouter(async (reply) => {
      count += 1
      const servedBy = count % 3 === 0 ? 'b' : 'a'
      const body = Buffer.from(JSON.stringify(reply.request.body))
      const answer = await fetch(`${engine.url}/v1/chat/completions`, { method: 'POST', headers: { 'content-type': 'application/json' }, body })
      return reply.header('x-served-by', servedBy).send(await answer.text())
    })
    expect((await run(url, { mix: CHATS })).backendServers).toEqual({ a: 20, b: 10 })
  })

  it('skips requests beyond the maximum number of open requests', async () => {
    let release = (): void => {}
    const released = new Promise<void>((resolve) => { release = resolve })
    const url = await startFakeRouter(async (reply) => {
      await released
      return reply.code(503).send({ error: { code: 'queueFull', outcome: 'not-run' } })
    })
    function * planThenRelease () {
      yield * planLoad({ ...DEFAULT_LOAD_PLAN, mix: CHATS, rate: 10_000, maximumRequests: 30 }, createSeededRandom(3))
      release()
    }
    const summary = await runLoad(planThenRelease(), { clock, routers: [url], keys: ['key'], sendChatHints: true, timeoutMs: 20_000, maximumOpen: 5 })
    expect([summary.sent, summary.skipped]).toEqual([5, 25])
  })

  it('stops sending when aborted, and waits for open requests', async () => {
    const server = await startEngine()
    const controller = new AbortController()
    const running = run(server.url, { mix: CHATS, rate: 0.001, durationMs: 1e9 }, { signal: controller.signal })
    controller.abort()
    expect((await running).sent).toBe(0)
  })

  it('formats its summary', async () => {
    const summary = await run((await startEngine()).url, { mix: CHATS, maximumRequests: 2 })
    expect(formatLoadSummary(summary)).toContain('first token')
  })
})
