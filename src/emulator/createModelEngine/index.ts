/**
 * Emulates a model engine without HTTP: continuous batching in a limited number
 * of slots, a queue by priority, prefill and decode times, and a prefix cache.
 * All times come from the given clock, so a benchmark can run many engines on a
 * manual clock.
 */
import { failure, success } from '../../kernel/index.js'
import type { Clock, LoadReport, Result } from '../../types/index.js'
import { composeAnswer } from '../composeAnswer/index.js'
import { countTokens } from '../countTokens/index.js'
import { createJournal, type Journal } from '../createJournal/index.js'
import { createLaggingLoad } from '../createLaggingLoad/index.js'
import { createJob, type EngineJob, type EngineRequest, type RunningJob } from './_lib/createJob.js'
import { createPrefixCache } from './_lib/createPrefixCache.js'

export type { EngineJob, EngineRequest, JobListener, JobUsage } from './_lib/createJob.js'

export type ModelEngineOptions = {
  /** Maximum number of requests in the batch. */
  readonly slots: number
  /** Maximum number of requests that wait for a slot; further ones are refused as overloaded. */
  readonly maximumWaiting: number
  readonly prefillTokensPerSecond: number
  /** Time between two tokens of a request that is alone in the batch, in milliseconds. */
  readonly decodeIntervalMs: number
  /** Increase of that time for each further request in the batch, in milliseconds. */
  readonly decodeIntervalPerRequestMs: number
  /** Size of the prefix cache, in tokens. */
  readonly cacheTokens: number
  /** How far the load report lags behind the load, in milliseconds. */
  readonly loadLagMs: number
  /** How long a stream without a reader can still be resumed, in milliseconds. */
  readonly graceMs: number
}

export type EngineRefusal = { readonly reason: 'leaving' | 'overloaded' }

export type ModelEngine = {
  readonly submit: (request: EngineRequest) => Result<EngineJob, EngineRefusal>
  /** The latest job of a request, while it runs or can still be resumed. */
  readonly find: (requestId: string) => EngineJob | undefined
  readonly report: () => LoadReport
  readonly setLeaving: (leaving: boolean) => void
  readonly journal: Journal
  /** Requests in the batch and waiting at this moment, without the lag of `report`. */
  readonly load: () => { readonly running: number, readonly waiting: number }
  readonly cachedTokens: () => number
}

export const DEFAULT_MODEL_ENGINE_OPTIONS: ModelEngineOptions = {
  slots: 16,
  maximumWaiting: 64,
  prefillTokensPerSecond: 20_000,
  decodeIntervalMs: 10,
  decodeIntervalPerRequestMs: 0.5,
  cacheTokens: 200_000,
  loadLagMs: 250,
  graceMs: 10_000
}

const MILLISECONDS_PER_SECOND = 1000

/**
 * Creates an idle engine.
 *
 * Each decode step generates one token for every decoding request of the batch
 * and takes longer the more of them there are. Prefills run one after another;
 * a prefill takes time in proportion to the prompt tokens that are not cached.
 * Interactive requests get a free slot before overnight ones.
 *
 * @param clock - Times prefills, decode steps and grace periods.
 * @param options - Sizes and rates; see `DEFAULT_MODEL_ENGINE_OPTIONS`.
 * @returns The engine.
 *
 * @example
 * const engine = createModelEngine(createManualClock(), { slots: 2 })
 * engine.submit({ requestId: 'r1', clientAccount: 'a', path: '/v1/chat/completions', messages: [], priority: 'interactive' })
 */
export const createModelEngine = (clock: Clock, options: Partial<ModelEngineOptions> = {}): ModelEngine => {
  const settings = { ...DEFAULT_MODEL_ENGINE_OPTIONS, ...options }
  const cache = createPrefixCache(settings.cacheTokens)
  const journal = createJournal(clock)
  const laggingLoad = createLaggingLoad(clock, settings.loadLagMs)
  const waiting: Record<EngineRequest['priority'], RunningJob[]> = { interactive: [], overnight: [] }
  const batch = new Set<RunningJob>()
  const decoding = new Set<RunningJob>()
  const jobs = new Map<string, RunningJob>()
  let prefillFreeAt = 0
  let isStepScheduled = false
  let leaving = false

  const countWaiting = (): number => waiting.interactive.length + waiting.overnight.length
  const load = () => ({ running: batch.size, waiting: countWaiting() })
  const recordLoad = (): void => laggingLoad.record(load())

  const scheduleStep = (): void => {
    if (isStepScheduled || decoding.size === 0) return
    isStepScheduled = true
    const interval = settings.decodeIntervalMs + (decoding.size - 1) * settings.decodeIntervalPerRequestMs
    const members = [...decoding]
    clock.setTimer(interval, () => runStep(members))
  }

  const runStep = (members: readonly RunningJob[]): void => {
    isStepScheduled = false
    for (const job of members) {
      if (!decoding.has(job)) continue
      job.emitToken()
      if (job.isComplete()) completeJob(job)
    }
    scheduleStep()
  }

  const completeJob = (job: RunningJob): void => {
    cache.store([...job.request.messages, { role: 'assistant', content: job.answer.text }])
    removeFromBatch(job)
    job.finish('complete')
  }

  const removeFromBatch = (job: RunningJob): void => {
    batch.delete(job)
    decoding.delete(job)
    fillSlots()
    recordLoad()
  }

  const fillSlots = (): void => {
    while (batch.size < settings.slots) {
      const job = waiting.interactive.shift() ?? waiting.overnight.shift()
      if (job === undefined) return
      startPrefill(job)
    }
  }

  const startPrefill = (job: RunningJob): void => {
    batch.add(job)
    const cachedTokens = cache.matchPrefix(job.request.messages)
    const promptTokens = job.request.messages.reduce((sum, { content }) => sum + countTokens(content), 0)
    job.start({ promptTokens, cachedTokens })
    const cost = (promptTokens - cachedTokens) / settings.prefillTokensPerSecond * MILLISECONDS_PER_SECOND
    prefillFreeAt = Math.max(clock.now(), prefillFreeAt) + cost
    clock.setTimer(prefillFreeAt - clock.now(), () => startDecode(job))
  }

  const startDecode = (job: RunningJob): void => {
    if (!batch.has(job)) return
    cache.store(job.request.messages)
    decoding.add(job)
    scheduleStep()
  }

  const cancelJob = (job: RunningJob): void => {
    if (job.outcome() !== undefined) return
    const queue = waiting[job.request.priority]
    const index = queue.indexOf(job)
    if (index !== -1) queue.splice(index, 1)
    removeFromBatch(job)
    job.finish('cancelled')
  }

  const checkAdmission = (): EngineRefusal | undefined => {
    if (leaving) return { reason: 'leaving' }
    if (batch.size >= settings.slots && countWaiting() >= settings.maximumWaiting) return { reason: 'overloaded' }
    return undefined
  }

  return {
    submit: (request) => {
      const refusal = checkAdmission()
      if (refusal !== undefined) return failure(refusal)
      const { requestId, idempotencyKey, clientAccount, path } = request
      const job: RunningJob = createJob(clock, request, {
        answer: composeAnswer(request.messages, request.maximumTokens),
        record: journal.add({ requestId, idempotencyKey, clientAccount, path, outcome: 'queued' }),
        graceMs: settings.graceMs,
        cancel: () => cancelJob(job),
        remove: () => { if (jobs.get(requestId) === job) jobs.delete(requestId) }
      })
      jobs.set(requestId, job)
      waiting[request.priority].push(job)
      fillSlots()
      recordLoad()
      return success(job)
    },
    find: (requestId) => jobs.get(requestId),
    report: () => ({ ...laggingLoad.read(), slots: settings.slots, leaving }),
    setLeaving: (value) => { leaving = value },
    journal,
    load,
    cachedTokens: cache.tokens
  }
}
