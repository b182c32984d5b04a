/**
 * Keeps the work that this node's requests cause at each backend server: prompt tokens that
 * it has still to read, memory of its running requests, how long they are in flight, and the
 * slowdown that it states.
 * Only services whose configuration describes their engines have unread tokens and memory.
 */
import { estimateFirstTokenMs, estimateServerWork, sumUnreadTokens } from '../../decisions/estimateServerWork/index.js'
import type { RequestMemory, ServerWorkEstimate, UnreadPrompt } from '../../decisions/estimateServerWork/index.js'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { BackendInstance, Clock, EngineCapacity, GatewayConfigurationHolder, GatewayRequest, InstanceLoad, LoadView, Logger } from '../../types/index.js'
import { createHoldTimes } from '../_lib/createHoldTimes.js'
import { createReadingPace } from './_lib/createReadingPace.js'

/** Records the course of one send. Each function may be called more than once and in any order. */
export type SentWork = {
  /** The answer's body has begun, so the prompt is read; only the first token of a stream tells how long that took. */
  readonly recordFirstBytes: (isStream: boolean) => void
  /** The send has ended, whatever its outcome. */
  readonly recordEnd: () => void
}

export type ServerWork = {
  /** A request is sent to the server, which has `missingTokens` of its prompt still to read. */
  readonly recordSend: (instance: BackendInstance, tokens: SentTokens) => SentWork
  /** The server stated its load in an answer. */
  readonly recordLoad: (instance: BackendInstance, load: InstanceLoad) => void
  /** Estimated work from all nodes; `undefined` for a service whose engines are not described. */
  readonly estimate: (instance: BackendInstance) => ServerWorkEstimate | undefined
  /** The slowdown that the server stated a moment ago; `undefined` otherwise. */
  readonly readSlowdown: (instance: BackendInstance) => StatedSlowdown | undefined
  /** Milliseconds until the server sends the first token of a request with so many missing tokens; `undefined` when unknown. */
  readonly estimateFirstTokenMs: (instance: BackendInstance, missingTokens: number) => number | undefined
  /** Whether the server can begin a request soon; what it has still to read and its memory count where its engines are described. */
  readonly hasRoom: (instance: BackendInstance, need?: RoomNeed) => boolean
  /** Mean milliseconds for which a request in flight at a server of the service goes on. */
  readonly readRemainingMs: (service: string) => number
  /** Observed milliseconds per prompt token, by service. */
  readonly readingPaces: () => ReadonlyMap<string, number>
}

export type RoomNeed = {
  /** Memory that the request needs, in tokens; 0 by default. */
  readonly tokens?: number
  /** Longest time that it may wait for prompts which the server has still to read, in milliseconds; unlimited by default. */
  readonly targetMs?: number
}

export type SentTokens = {
  readonly missingTokens: number
  readonly expectedOutputTokens: number
  readonly maximumOutputTokens: number
}

export type StatedSlowdown = { readonly slowdown: number, readonly ageMs: number }

export type ServerWorkDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly logger: Pick<Logger, 'warn'>
  readonly configuration: Pick<GatewayConfigurationHolder, 'current'>
  readonly loadView: Pick<LoadView, 'estimateInFlight' | 'ownInFlight'>
  /** Prompt tokens that the server has still to read for other nodes. */
  readonly readPeersUnread: (key: string) => { readonly tokens: number, readonly at: number } | undefined
}

export type RunningServerWork = RunningService<ServerWork> & {
  /** Prompt tokens that the servers have still to read for this node, by instance key. */
  readonly readUnreadTokens: () => ReadonlyMap<string, number>
  /** Drops the state of servers that are not listed and have no open send. */
  readonly retain: (live: ReadonlySet<string>) => void
}

type OpenSend = UnreadPrompt & RequestMemory

type ServerState = {
  readonly service: string
  readonly unread: Set<OpenSend>
  readonly open: Set<OpenSend>
  slowdown: { readonly value: number, readonly at: number } | undefined
  hasStatedNonsense: boolean
}

/**
 * How long a stated slowdown is believed. A server that is avoided answers nothing, so that nothing corrects
 * what it stated last: the time bounds how long a server that recovered is avoided.
 */
const SLOWDOWN_LIFETIME_MS = 300

const NO_MEMORY: RequestMemory = { promptTokens: 0, expectedOutputTokens: 0, maximumOutputTokens: 0 }
/** Weight of a new request in the mean memory of a service's requests. */
const REQUEST_WEIGHT = 0.05

const toCount = (value: number): number => Number.isFinite(value) ? Math.max(0, value) : 0

const averageMemory = (mean: RequestMemory | undefined, next: RequestMemory): RequestMemory => {
  if (mean === undefined) return next
  const average = (field: keyof RequestMemory): number => mean[field] + REQUEST_WEIGHT * (next[field] - mean[field])
  return { promptTokens: average('promptTokens'), expectedOutputTokens: average('expectedOutputTokens'), maximumOutputTokens: average('maximumOutputTokens') }
}

/**
 * Counts the tokens of a request for `recordSend`.
 *
 * @param request - The request; its output is estimated by the caller, and the maximum where the caller gave no estimate.
 * @param cachedTokens - Tokens of its prompt that the server has or gets as a copy.
 * @returns Missing prompt tokens, and the output by the estimate and at most.
 *
 * @example
 * countSentTokens({ tokens: { prompt: 9_000, output: 400 }, estimatedOutputTokens: 100 }, 8_000) // => { missingTokens: 1_000, expectedOutputTokens: 100, maximumOutputTokens: 400 }
 */
export const countSentTokens = ({ tokens, estimatedOutputTokens }: Pick<GatewayRequest, 'tokens' | 'estimatedOutputTokens'>, cachedTokens: number): SentTokens => ({
  missingTokens: Math.max(0, toCount(tokens.prompt) - cachedTokens),
  expectedOutputTokens: Math.min(toCount(tokens.output), toCount(estimatedOutputTokens ?? tokens.output)),
  maximumOutputTokens: toCount(tokens.output)
})

/**
 * Creates the service.
 *
 * @param dependencies - Clock, log, configuration, load estimates and what peers state.
 * @returns The service for the kernel, and what this node publishes.
 *
 * @example
 * const { api } = createServerWork(dependencies)
 * const sent = api.recordSend(instance, { missingTokens: 9_000, expectedOutputTokens: 100, maximumOutputTokens: 400 })
 * api.estimate(instance)?.unreadTokens // => 9_000
 */
export const createServerWork = ({ clock, logger, configuration, loadView, readPeersUnread }: ServerWorkDependencies): RunningServerWork => {
  const states = new Map<string, ServerState>()
  const pace = createReadingPace()
  const holdTimes = createHoldTimes()
  const meanRequests = new Map<string, RequestMemory>()

  const findEngine = (service: string): EngineCapacity | undefined => configuration.current()?.services.get(service)?.engine

  const getState = (instance: BackendInstance): ServerState => {
    const key = formatInstanceKey(instance)
    const known = states.get(key)
    if (known !== undefined) return known
    const created: ServerState = { service: instance.service, unread: new Set(), open: new Set(), slowdown: undefined, hasStatedNonsense: false }
    states.set(key, created)
    return created
  }

  const readSlowdown = (instance: BackendInstance): StatedSlowdown | undefined => {
    const stated = states.get(formatInstanceKey(instance))?.slowdown
    if (stated === undefined) return undefined
    const ageMs = clock.now() - stated.at
    return ageMs < SLOWDOWN_LIFETIME_MS ? { slowdown: stated.value, ageMs } : undefined
  }

  const estimate = (instance: BackendInstance): ServerWorkEstimate | undefined => {
    const engine = findEngine(instance.service)
    if (engine === undefined) return undefined
    const key = formatInstanceKey(instance)
    const state = states.get(key)
    return estimateServerWork({
      unreadPrompts: state?.unread ?? [],
      others: readPeersUnread(key),
      memories: state?.open ?? [],
      otherRequests: Math.max(0, loadView.estimateInFlight(key) - loadView.ownInFlight(key)),
      meanRequest: meanRequests.get(instance.service) ?? NO_MEMORY,
      memoryTokens: engine.memoryTokens,
      readingMsPerToken: pace.read(instance.service)
    }, clock.now())
  }

  /** Returns a function that records the time from now to its first call. */
  const startHoldTime = (service: string): () => void => {
    const startedAt = clock.now()
    let hasEnded = false
    return () => {
      if (!hasEnded) holdTimes.record(service, clock.now() - startedAt)
      hasEnded = true
    }
  }

  const recordSend = (instance: BackendInstance, { missingTokens, expectedOutputTokens, maximumOutputTokens }: SentTokens): SentWork => {
    const { service } = instance
    const endHoldTime = startHoldTime(service)
    const before = estimate(instance)
    if (before === undefined) return { recordFirstBytes: () => {}, recordEnd: endHoldTime }
    const state = getState(instance)
    const sent: OpenSend = { tokens: missingTokens, tokensBefore: before.unreadTokens, sentAt: clock.now(), promptTokens: missingTokens, expectedOutputTokens, maximumOutputTokens }
    meanRequests.set(service, averageMemory(meanRequests.get(service), sent))
    state.unread.add(sent)
    state.open.add(sent)
    return {
      recordFirstBytes: (isStream) => {
        if (!state.unread.delete(sent) || !isStream) return
        pace.record(service, sent.tokensBefore + sent.tokens, (clock.now() - sent.sentAt) / (readSlowdown(instance)?.slowdown ?? 1))
      },
      recordEnd: () => {
        endHoldTime()
        state.unread.delete(sent)
        state.open.delete(sent)
      }
    }
  }

  const recordLoad = (instance: BackendInstance, { slowdown }: InstanceLoad): void => {
    if (slowdown === undefined) return
    const state = getState(instance)
    if (Number.isFinite(slowdown) && slowdown > 0) {
      state.slowdown = { value: slowdown, at: clock.now() }
      return
    }
    if (state.hasStatedNonsense) return
    state.hasStatedNonsense = true
    logger.warn('backend server slowdown is malformed', { backendServer: instance.id, service: instance.service, slowdown: String(slowdown) })
  }

  const computeReadingMs = (instance: BackendInstance, tokens: number): number | undefined =>
    estimateFirstTokenMs(tokens, pace.read(instance.service), readSlowdown(instance)?.slowdown ?? 1)

  return {
    api: {
      recordSend,
      recordLoad,
      estimate,
      readSlowdown,
      estimateFirstTokenMs: (instance, missingTokens) => {
        const work = estimate(instance)
        return work && computeReadingMs(instance, work.unreadTokens + missingTokens)
      },
      hasRoom: (instance, { tokens = 0, targetMs = Infinity } = {}) => {
        if (instance.slots > 0 && loadView.estimateInFlight(formatInstanceKey(instance)) >= instance.slots) return false
        const work = estimate(instance)
        return work === undefined || (work.memoryFreeTokens >= tokens && (computeReadingMs(instance, work.unreadTokens) ?? 0) <= targetMs)
      },
      readRemainingMs: holdTimes.readRemaining,
      readingPaces: pace.readAll
    },
    readUnreadTokens: () => {
      const now = clock.now()
      const tokens = new Map<string, number>()
      for (const [key, { service, unread }] of states) {
        const sum = unread.size === 0 ? 0 : sumUnreadTokens(unread, now, pace.read(service))
        if (sum > 0) tokens.set(key, sum)
      }
      return tokens
    },
    retain: (live) => {
      for (const [key, { open }] of states) if (open.size === 0 && !live.has(key)) states.delete(key)
    }
  }
}
