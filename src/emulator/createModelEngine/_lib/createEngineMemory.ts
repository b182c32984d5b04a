/** The memory of the emulated engine, which running requests and cached prompt parts share. */
import type { EngineRequest, RunningJob } from './createJob.js'
import type { PrefixCache } from './createPrefixCache.js'
import { listPromptParts, readUrgency } from './readEngineRequest.js'

export type EngineMemory = {
  /** Whether the running requests alone need more than there is. */
  readonly isFull: () => boolean
  /** Whether a request that is not running yet fits beside the running ones; cached parts make room. */
  readonly fits: (job: RunningJob) => boolean
  /** Whether the request fits at its full length while nothing else runs. */
  readonly canHold: (request: EngineRequest) => boolean
  /** The newest of the least urgent running requests, among those less urgent than `urgency`. */
  readonly selectVictim: (urgency: number) => RunningJob | undefined
  /** Evicts cached parts for which the running requests leave no room. */
  readonly evictCached: () => void
}

const sumTokens = (parts: Iterable<number>): number => [...parts].reduce((sum, tokens) => sum + tokens, 0)

/** Tokens of each part that the requests use; a part that several of them share is there once. */
const indexParts = (jobs: Iterable<RunningJob>): ReadonlyMap<string, number> =>
  new Map([...jobs].flatMap(({ request }) => listPromptParts(request).map(({ id, tokens }) => [id, tokens] as const)))

const countHeld = (jobs: readonly RunningJob[]): number => sumTokens(indexParts(jobs).values()) + sumTokens(jobs.map((job) => job.emitted()))

/**
 * Creates the memory.
 *
 * @param totalTokens - Size in tokens; unlimited when undefined.
 * @param cache - The cached prompt parts.
 * @param batch - The running requests, the oldest first.
 * @returns The memory.
 *
 * @example
 * createEngineMemory(undefined, cache, batch).isFull() // => false
 */
export const createEngineMemory = (totalTokens: number | undefined, cache: PrefixCache, batch: ReadonlySet<RunningJob>): EngineMemory => {
  const total = totalTokens ?? Infinity

  const evictCached = (): void => {
    const inUse = indexParts(batch)
    const uncached = sumTokens([...inUse].map(([id, tokens]) => cache.has(id) ? 0 : tokens))
    const emitted = sumTokens([...batch].map((job) => job.emitted()))
    cache.evictTo(total - uncached - emitted, (id) => inUse.has(id))
  }

  return {
    isFull: () => total < Infinity && countHeld([...batch]) > total,
    fits: (job) => total === Infinity || countHeld([...batch, job]) < total,
    canHold: (request) => total === Infinity || sumTokens(listPromptParts(request).map(({ tokens }) => tokens)) + (request.sizes?.answerTokens ?? request.maximumTokens ?? 0) < total,
    selectVictim: (urgency) => [...batch].reduce<RunningJob | undefined>((victim, job) => {
      const isCandidate = readUrgency(job.request) > urgency
      return isCandidate && readUrgency(job.request) >= (victim === undefined ? 0 : readUrgency(victim.request)) ? job : victim
    }, undefined),
    evictCached: () => { if (total < Infinity) evictCached() }
  }
}
