/** Runs a planned load as an open loop: each request is sent at its planned time, independent of the answers to the others. */
import { Agent } from 'undici'
import type { Clock } from '../../types/index.js'
import { createLoadRecorder, type LoadSummary } from '../createLoadRecorder/index.js'
import type { PlannedRequest } from '../planLoad/index.js'
import { sendPlannedRequest, type SentRequest } from '../sendPlannedRequest/index.js'

export type LoadRunOptions = {
  readonly clock: Clock
  /** Origins of the routers, used round-robin. */
  readonly routers: readonly string[]
  /** The API key of each client account of the plan. */
  readonly keys: readonly string[]
  /** Whether the `x-chat-hint` of an answer is sent with the next turn of its chat. */
  readonly sendChatHints: boolean
  /** Time-out of a request, in milliseconds. */
  readonly timeoutMs: number
  /** Maximum number of open requests; a planned request beyond it is skipped and counted as skipped. */
  readonly maximumOpen: number
  /** Called with every outcome, for example to compare it with the journals of the emulated servers. */
  readonly onResult?: (planned: PlannedRequest, sent: SentRequest) => void
  readonly onProgress?: (progress: LoadProgress) => void
  /** Stops sending; open requests are still awaited. */
  readonly signal?: AbortSignal
}

export type LoadProgress = { readonly elapsedMs: number, readonly summary: LoadSummary, readonly open: number }

const SKEW_SAMPLE_INTERVAL_MS = 100
const PROGRESS_INTERVAL_MS = 1000
const SENDS_BETWEEN_YIELDS = 16
const MAXIMUM_HINTS = 100_000

/**
 * Sends the planned requests to the routers and summarises their outcomes.
 *
 * Latencies are counted from the time a request was sent. How much later than
 * planned that was is reported separately, as `sendingDelay`.
 *
 * @param plan - Requests in the order of their times.
 * @param options - The routers, the keys of the client accounts, and the limits.
 * @returns The summary, once every request has an outcome.
 *
 * @example
 * await runLoad(planLoad(DEFAULT_LOAD_PLAN, random), { clock, routers: [url], keys: [key], sendChatHints: true, timeoutMs: 60_000, maximumOpen: 1000 })
 */
export const runLoad = async (plan: Iterable<PlannedRequest>, options: LoadRunOptions): Promise<LoadSummary> => {
  const { clock, routers, keys } = options
  const dispatcher = new Agent({ connections: null, pipelining: 1 })
  const recorder = createLoadRecorder()
  const hints = new Map<string, string>()
  const open = new Set<Promise<void>>()
  const startedAt = clock.now()
  const elapsed = (): number => clock.now() - startedAt
  let sent = 0
  let started = 0

  const keepHint = (planned: PlannedRequest, hint: string | undefined): void => {
    if (!options.sendChatHints || hint === undefined || planned.kind !== 'chat') return
    hints.set(planned.chatId, hint)
    if (hints.size > MAXIMUM_HINTS) hints.delete(hints.keys().next().value!)
  }

  const send = async (planned: PlannedRequest): Promise<void> => {
    const target = { dispatcher, url: routers[sent++ % routers.length]!, key: keys[planned.account % keys.length]! }
    const chatHint = planned.kind === 'chat' ? hints.get(planned.chatId) : undefined
    const result = await sendPlannedRequest(planned, target, { clock, timeoutMs: options.timeoutMs, chatHint, onServedBy: (backendServer) => recorder.recordAnswerStart(planned.kind, backendServer) })
    keepHint(planned, result.chatHint)
    recorder.recordResult(planned, result)
    options.onResult?.(planned, result)
  }

  const start = (planned: PlannedRequest): void => {
    recorder.recordSendingDelay(elapsed() - planned.atMs)
    if (open.size >= options.maximumOpen) return recorder.recordSkipped()
    const sending = send(planned).finally(() => open.delete(sending))
    open.add(sending)
  }

  const stopSampling = runRepeatedly(clock, SKEW_SAMPLE_INTERVAL_MS, recorder.sampleSkew)
  const stopProgress = runRepeatedly(clock, PROGRESS_INTERVAL_MS, () => options.onProgress?.({ elapsedMs: elapsed(), summary: recorder.summarise(elapsed()), open: open.size }))
  for (const planned of plan) {
    const aheadMs = planned.atMs - elapsed()
    // Yields regularly also when sending is behind the plan, so that answers are read.
    if (aheadMs > 0 || started % SENDS_BETWEEN_YIELDS === 0) await wait(clock, Math.max(0, aheadMs), options.signal)
    if (options.signal?.aborted === true) break
    start(planned)
    started += 1
  }
  await Promise.all(open)
  stopSampling()
  stopProgress()
  await dispatcher.destroy()
  return recorder.summarise(elapsed())
}

const wait = (clock: Clock, delayMs: number, signal: AbortSignal | undefined): Promise<void> =>
  new Promise((resolve) => {
    const finish = (): void => {
      timer.cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = clock.setTimer(delayMs, finish)
    signal?.addEventListener('abort', finish)
  })

const runRepeatedly = (clock: Clock, intervalMs: number, action: () => void): () => void => {
  let timer = clock.setTimer(intervalMs, run)
  function run (): void {
    action()
    timer = clock.setTimer(intervalMs, run)
  }
  return () => timer.cancel()
}
