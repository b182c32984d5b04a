/**
 * Emulates a model engine without HTTP: continuous batching in a limited number
 * of slots, a queue by priority, prefill and decode times, and a prefix cache.
 * Options make it as uneven as an engine under hard load: reading prompts delays
 * the tokens of others, and running requests and cached prompt parts share one
 * memory. All times come from the given clock, so a benchmark can run many
 * engines on a manual clock.
 */
import { failure, success } from '../../kernel/index.js'
import type { Clock, LoadReport, Result } from '../../types/index.js'
import { createJournal, type Journal } from '../createJournal/index.js'
import { createLaggingLoad } from '../createLaggingLoad/index.js'
import { createEngineMemory } from './_lib/createEngineMemory.js'
import { createJob, type EngineJob, type EngineRequest, type RunningJob } from './_lib/createJob.js'
import { createPrefixCache } from './_lib/createPrefixCache.js'
import { composeAnswerOf, listAnswerParts, listPromptParts, readUrgency } from './_lib/readEngineRequest.js'

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
  /** Prompt tokens that one step reads beside generating a token for each other request; without it, prompts are read apart and delay no tokens. */
  readonly readChunkTokens?: number
  /** Memory for running requests and cached prompt parts, in tokens. It replaces `cacheTokens`; without it, running requests need no memory. */
  readonly memoryTokens?: number
  /** How long work takes now, as a multiple of the usual time; 1 by default. */
  readonly readSlowdown?: () => number
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
  /** How long work takes now, as a multiple of the usual time. */
  readonly slowdown: () => number
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
const URGENCIES = 10

/**
 * Creates an idle engine.
 *
 * Each decode step generates one token for every decoding request of the batch
 * and takes longer the more of them there are. Prefills run one after another;
 * a prefill takes time in proportion to the prompt tokens that are not cached.
 * More urgent requests get a free slot first, interactive ones before overnight ones.
 *
 * With `readChunkTokens`, prompts are read in chunks between the tokens of other
 * requests. With `memoryTokens`, a request that does not fit pre-empts the newest
 * of the least urgent ones; its answer goes on once its prompt is read again.
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
  const { slots, readChunkTokens, memoryTokens } = settings
  const cache = createPrefixCache(memoryTokens === undefined ? settings.cacheTokens : Number.MAX_SAFE_INTEGER)
  const journal = createJournal(clock)
  const laggingLoad = createLaggingLoad(clock, settings.loadLagMs)
  const waiting: readonly RunningJob[][] = Array.from({ length: URGENCIES }, () => [])
  const batch = new Set<RunningJob>()
  const memory = createEngineMemory(memoryTokens, cache, batch)
  const decoding = new Set<RunningJob>()
  /** Prompt tokens still to be read, where prompts are read in chunks. */
  const unread = new Map<RunningJob, number>()
  const jobs = new Map<string, RunningJob>()
  let prefillFreeAt = 0
  let isStepScheduled = false
  let leaving = false

  const slowdown = (): number => settings.readSlowdown?.() ?? 1
  const countWaiting = (): number => waiting.reduce((sum, queue) => sum + queue.length, 0)
  const load = () => ({ running: batch.size, waiting: countWaiting() })
  const recordLoad = (): void => laggingLoad.record(load())
  const computeReadMs = (tokens: number): number => tokens / settings.prefillTokensPerSecond * MILLISECONDS_PER_SECOND
  const computeDecodeMs = (members: number): number => members === 0 ? 0 : settings.decodeIntervalMs + (members - 1) * settings.decodeIntervalPerRequestMs

  /** Splits the chunk of the next step over the prompts in the order in which they started. */
  const planReads = (): ReadonlyMap<RunningJob, number> => {
    let left = readChunkTokens ?? 0
    const reads = new Map<RunningJob, number>()
    for (const [job, tokens] of unread) {
      if (left <= 0) break
      reads.set(job, Math.min(left, tokens))
      left -= tokens
    }
    return reads
  }

  const scheduleStep = (): void => {
    if (isStepScheduled || decoding.size + unread.size === 0) return
    isStepScheduled = true
    const members = [...decoding]
    const reads = planReads()
    const readTokens = [...reads.values()].reduce((sum, tokens) => sum + tokens, 0)
    clock.setTimer((computeDecodeMs(members.length) + computeReadMs(readTokens)) * slowdown(), () => runStep(members, reads))
  }

  const runStep = (members: readonly RunningJob[], reads: ReadonlyMap<RunningJob, number>): void => {
    isStepScheduled = false
    for (const job of members) {
      if (!decoding.has(job)) continue
      job.emitToken()
      if (job.isComplete()) completeJob(job)
    }
    for (const [job, tokens] of reads) recordRead(job, tokens)
    preemptUntilFits()
    scheduleStep()
  }

  const recordRead = (job: RunningJob, tokens: number): void => {
    const before = unread.get(job)
    if (before === undefined) return
    if (before > tokens) unread.set(job, before - tokens)
    else startDecode(job)
  }

  const completeJob = (job: RunningJob): void => {
    leaveBatch(job)
    cache.store([...listPromptParts(job.request), ...listAnswerParts(job)])
    fillSlots()
    recordLoad()
    job.finish('complete')
  }

  const leaveBatch = (job: RunningJob): void => {
    batch.delete(job)
    decoding.delete(job)
    unread.delete(job)
  }

  const preempt = (job: RunningJob): void => {
    leaveBatch(job)
    cache.store(listPromptParts(job.request))
    waiting[readUrgency(job.request)]!.unshift(job)
  }

  const preemptUntilFits = (): void => {
    while (memory.isFull()) preempt(memory.selectVictim(-1)!)
    memory.evictCached()
  }

  /** Pre-empts less urgent requests until the prompt fits; returns whether it does. */
  const makeRoom = (job: RunningJob): boolean => {
    while (!memory.fits(job)) {
      const victim = memory.selectVictim(readUrgency(job.request))
      if (victim === undefined) return false
      preempt(victim)
    }
    return true
  }

  const fillSlots = (): void => {
    while (batch.size < slots) {
      const queue = waiting.find(({ length }) => length > 0)
      if (queue === undefined || !makeRoom(queue[0]!)) break
      startPrefill(queue.shift()!)
    }
    memory.evictCached()
  }

  const startPrefill = (job: RunningJob): void => {
    batch.add(job)
    const parts = listPromptParts(job.request)
    const cachedTokens = cache.matchPrefix(parts)
    const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0)
    job.start({ promptTokens, cachedTokens })
    const tokens = promptTokens - cachedTokens + job.emitted()
    if (readChunkTokens !== undefined) {
      unread.set(job, tokens)
      return scheduleStep()
    }
    prefillFreeAt = Math.max(clock.now(), prefillFreeAt) + computeReadMs(tokens) * slowdown()
    clock.setTimer(prefillFreeAt - clock.now(), () => startDecode(job))
  }

  const startDecode = (job: RunningJob): void => {
    if (!batch.has(job)) return
    unread.delete(job)
    cache.store(listPromptParts(job.request))
    decoding.add(job)
    scheduleStep()
  }

  const cancelJob = (job: RunningJob): void => {
    if (job.outcome() !== undefined) return
    const queue = waiting[readUrgency(job.request)]!
    const index = queue.indexOf(job)
    if (index !== -1) queue.splice(index, 1)
    leaveBatch(job)
    fillSlots()
    recordLoad()
    job.finish('cancelled')
  }

  const isRoomLeft = (): boolean => countWaiting() < settings.maximumWaiting || (batch.size < slots && countWaiting() === 0)

  const checkAdmission = (request: EngineRequest): EngineRefusal | undefined => {
    if (leaving) return { reason: 'leaving' }
    if (!isRoomLeft() || !memory.canHold(request)) return { reason: 'overloaded' }
    return undefined
  }

  return {
    submit: (request) => {
      const refusal = checkAdmission(request)
      if (refusal !== undefined) return failure(refusal)
      const { requestId, idempotencyKey, clientAccount, path } = request
      const job: RunningJob = createJob(clock, request, {
        answer: composeAnswerOf(request),
        record: journal.add({ requestId, idempotencyKey, clientAccount, path, outcome: 'queued' }),
        graceMs: settings.graceMs,
        cancel: () => cancelJob(job),
        remove: () => { if (jobs.get(requestId) === job) jobs.delete(requestId) }
      })
      jobs.set(requestId, job)
      waiting[readUrgency(request)]!.push(job)
      fillSlots()
      recordLoad()
      return success(job)
    },
    find: (requestId) => jobs.get(requestId),
    report: () => ({ ...laggingLoad.read(), slots, leaving }),
    setLeaving: (value) => { leaving = value },
    journal,
    load,
    cachedTokens: cache.tokens,
    slowdown
  }
}
