import { describe, expect, it } from 'vitest'
import { composeAnswer } from '../composeAnswer/index.js'
import { createManualClock } from '../createManualClock/index.js'
import { createModelEngine, type EngineJob, type EngineRequest, type ModelEngineOptions } from './index.js'

const buildRequest = (requestId: string, changes: Partial<EngineRequest> = {}): EngineRequest => ({
  requestId,
  clientAccount: 'kiosk',
  path: '/v1/chat/completions',
  messages: [{ role: 'user', content: `question ${requestId}` }],
  maximumTokens: 4,
  priority: 'interactive',
  ...changes
})

const startEngine = (options: Partial<ModelEngineOptions> = {}) => {
  const clock = createManualClock()
  const engine = createModelEngine(clock, { prefillTokensPerSecond: 1000, decodeIntervalMs: 10, decodeIntervalPerRequestMs: 5, ...options })
  const submit = (request: EngineRequest): EngineJob => {
    const submitted = engine.submit(request)
    if (!submitted.ok) throw new Error(`refused: ${submitted.error.reason}`)
    return submitted.value
  }
  return { clock, engine, submit }
}

describe('createModelEngine', () => {
  it('generates the complete composed answer, token by token', () => {
    const { clock, submit } = startEngine()
    const request = buildRequest('a')
    const job = submit(request)
    const seen: number[] = []
    job.listen(() => seen.push(job.emitted()))
    clock.runUntilIdle(10_000)
    expect([seen, job.outcome()]).toEqual([[1, 2, 3, 4, 4], 'complete'])
    expect(job.answer).toEqual(composeAnswer(request.messages, 4))
  })

  it('takes longer per token the more requests share the batch', () => {
    const timeToFinish = (count: number): number => {
      const { clock, submit } = startEngine({ prefillTokensPerSecond: Infinity })
      let finishedAt = 0
      for (let index = 0; index < count; index += 1) submit(buildRequest(`r${index}`)).listen(() => { finishedAt = clock.now() })
      clock.runUntilIdle(10_000)
      return finishedAt
    }
    // One step of 10 ms with the first request alone, three of 20 ms with all three, one of 15 ms with the last two.
    expect([timeToFinish(1), timeToFinish(3)]).toEqual([40, 85])
  })

  it('queues requests beyond its slots, and runs interactive ones before overnight ones', () => {
    const { clock, engine, submit } = startEngine({ slots: 1 })
    const order: string[] = []
    const track = (requestId: string, priority: EngineRequest['priority']): void => {
      const job = submit(buildRequest(requestId, { priority }))
      job.listen(() => { if (job.outcome() === 'complete') order.push(requestId) })
    }
    track('first', 'overnight')
    track('night', 'overnight')
    track('day', 'interactive')
    expect(engine.load()).toEqual({ running: 1, waiting: 2 })
    clock.runUntilIdle(10_000)
    expect(order).toEqual(['first', 'day', 'night'])
  })

  it('reuses the cached prefix of the earlier turns of a chat', () => {
    const { clock, submit } = startEngine()
    const first = buildRequest('a', { messages: [{ role: 'user', content: 'x'.repeat(400) }] })
    const answer = submit(first).answer.text
    clock.runUntilIdle(10_000)
    const second = submit(buildRequest('b', { messages: [...first.messages, { role: 'assistant', content: answer }, { role: 'user', content: 'next' }] }))
    expect(second.usage()).toEqual({ promptTokens: 100 + Math.ceil(answer.length / 4) + 1, cachedTokens: 100 + Math.ceil(answer.length / 4) })
  })

  it('evicts the least recently used chat when the cache is full', () => {
    const { clock, submit } = startEngine({ cacheTokens: 250 })
    const readCachedTokens = (name: string): number => {
      const job = submit(buildRequest(name, { messages: [{ role: 'user', content: name.repeat(400) }], maximumTokens: 1 }))
      clock.runUntilIdle(10_000)
      return job.usage().cachedTokens
    }
    expect(['a', 'b', 'a', 'c', 'a', 'b'].map(readCachedTokens)).toEqual([0, 0, 100, 0, 100, 0])
  })

  it.each([
    ['leaving', (engine: ReturnType<typeof startEngine>['engine']) => engine.setLeaving(true)],
    ['overloaded', (engine: ReturnType<typeof startEngine>['engine']) => { engine.submit(buildRequest('x')); engine.submit(buildRequest('y')) }]
  ])('refuses a request when %s, and does not record it in the journal', (reason, prepare) => {
    const { engine } = startEngine({ slots: 1, maximumWaiting: 1 })
    prepare(engine)
    expect(engine.submit(buildRequest('refused'))).toEqual({ ok: false, error: { reason } })
    expect(engine.journal.entries().map(({ requestId }) => requestId)).not.toContain('refused')
  })

  it('reports its load with a lag, but reports immediately that it is leaving', () => {
    const { clock, engine, submit } = startEngine({ loadLagMs: 1000 })
    submit(buildRequest('a', { maximumTokens: 1000 }))
    engine.setLeaving(true)
    expect(engine.report()).toMatchObject({ running: 0, leaving: true, ageMs: 1000 })
    clock.advance(1000)
    expect(engine.report()).toMatchObject({ running: 1, leaving: true })
  })

  // Without a grace period the engine would go on generating for a router that has crashed.
  it('cancels and drops a job that has had no listener for the grace period', () => {
    const { clock, engine, submit } = startEngine({ graceMs: 15 })
    const job = submit(buildRequest('a', { maximumTokens: 100 }))
    job.listen(() => {})()
    clock.advance(14)
    expect([job.outcome(), engine.find('a')]).toEqual([undefined, job])
    clock.advance(1)
    expect([job.outcome(), engine.find('a'), engine.load().running]).toEqual(['cancelled', undefined, 0])
  })

  it('gives the slot of a cancelled job to the next job in the queue', () => {
    const { engine, submit } = startEngine({ slots: 1 })
    const first = submit(buildRequest('a'))
    submit(buildRequest('b'))
    first.cancel()
    expect(engine.journal.entries().map(({ requestId, outcome }) => [requestId, outcome])).toEqual([['a', 'cancelled'], ['b', 'running']])
  })

  const buildSizedRequest = (requestId: string, promptTokens: number, answerTokens: number, urgency = 5): EngineRequest =>
    buildRequest(requestId, { messages: [], urgency, sizes: { promptParts: [{ id: requestId, tokens: promptTokens }], answerTokens } })

  it('delays the tokens of others while it reads a prompt in chunks', () => {
    const timeToFinish = (changes: Partial<ModelEngineOptions>): number => {
      const { clock, submit } = startEngine({ decodeIntervalPerRequestMs: 0, ...changes })
      let finishedAt = 0
      submit(buildSizedRequest('a', 0, 5)).listen(() => { finishedAt = clock.now() })
      submit(buildSizedRequest('b', 100, 1))
      clock.runUntilIdle(1_000)
      return finishedAt
    }
    // Five steps of 10 ms; the chunks add 50 ms to two of them.
    expect([timeToFinish({}), timeToFinish({ readChunkTokens: 50 }), timeToFinish({ readSlowdown: () => 2 })]).toEqual([50, 150, 100])
  })

  it('pre-empts the newest of the least urgent when a more urgent prompt does not fit', () => {
    const { clock, engine, submit } = startEngine({ readChunkTokens: 1_000, memoryTokens: 1_000 })
    const jobs = [buildSizedRequest('older', 400, 50, 7), buildSizedRequest('newer', 400, 50, 7), buildSizedRequest('urgent', 300, 50, 2)].map(submit)
    expect([engine.load(), jobs.map((job) => job.usage().promptTokens)]).toEqual([{ running: 2, waiting: 1 }, [400, 400, 300]])
    const order: string[] = []
    for (const job of jobs) job.listen(() => { if (job.outcome() === 'complete') order.push(job.request.requestId) })
    clock.runUntilIdle(60_000)
    expect([order, jobs.map((job) => job.emitted())]).toEqual([['older', 'urgent', 'newer'], [50, 50, 50]])
  })

  it('pre-empts a request when answers outgrow the memory, and refuses one that never fits', () => {
    const { clock, engine, submit } = startEngine({ readChunkTokens: 1_000, memoryTokens: 1_000 })
    const jobs = [buildSizedRequest('a', 400, 200), buildSizedRequest('b', 400, 200)].map(submit)
    clock.advance(2_500)
    expect(engine.load()).toEqual({ running: 1, waiting: 1 })
    clock.runUntilIdle(60_000)
    expect(jobs.map((job) => [job.outcome(), job.emitted()])).toEqual([['complete', 200], ['complete', 200]])
    expect(engine.submit(buildSizedRequest('c', 900, 200))).toEqual({ ok: false, error: { reason: 'overloaded' } })
  })
})
