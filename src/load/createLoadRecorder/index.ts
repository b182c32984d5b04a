/** Records the outcomes and latencies of the requests of a load run, and summarises them. */
import { build, type Histogram } from 'hdr-histogram-js'
import { countTokens } from '../../emulator/countTokens/index.js'
import type { PlannedRequest, RequestKind } from '../planLoad/index.js'
import type { LoadOutcome, SentRequest } from '../sendPlannedRequest/index.js'

/** Percentiles of a latency in milliseconds; `count` is the number of samples. */
export type LatencySummary = {
  readonly count: number
  readonly mean: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly max: number
}

export type OutcomeSummary = Readonly<Record<LoadOutcome, number>>

export type LoadSummary = {
  readonly sent: number
  /** Requests not sent because too many requests were open. */
  readonly skipped: number
  readonly durationMs: number
  readonly requestsPerSecond: number
  /** Tokens of complete answers. */
  readonly completionTokens: number
  readonly tokensPerSecond: number
  readonly outcomes: OutcomeSummary
  readonly outcomesByKind: Readonly<Record<string, OutcomeSummary>>
  /** Number of requests by outcome and reason, keyed `<outcome>: <reason>`. */
  readonly reasons: Readonly<Record<string, number>>
  readonly latencies: {
    readonly firstToken: LatencySummary
    readonly betweenTokens: LatencySummary
    readonly wholeAnswer: LatencySummary
    readonly plainCall: LatencySummary
    /** How much later than planned requests were sent. */
    readonly sendingDelay: LatencySummary
  }
  readonly cache: {
    readonly promptTokens: number
    readonly cachedTokens: number
    /** Cached share of all prompt tokens. */
    readonly tokenShare: number
    /** Complete chat requests that continue an earlier chat. */
    readonly returning: number
    /** Share of those whose complete history was cached. */
    readonly requestShare: number
  }
  readonly backendServers: Readonly<Record<string, number>>
  /** Load skew, sampled during the run: open answers of the model engine with the most of them, divided by the mean. */
  readonly skew: { readonly samples: number, readonly p50: number, readonly p99: number, readonly max: number }
}

export type LoadRecorder = {
  readonly recordSkipped: () => void
  readonly recordSendingDelay: (delayMs: number) => void
  /** Records that a backend server has begun to answer. */
  readonly recordAnswerStart: (kind: RequestKind, backendServer: string) => void
  readonly recordResult: (planned: PlannedRequest, sent: SentRequest) => void
  /** Samples the distribution of the open answers over the backend servers. */
  readonly sampleSkew: () => void
  readonly summarise: (durationMs: number) => LoadSummary
}

const MILLISECONDS_PER_SECOND = 1000
const MICROSECONDS_PER_MILLISECOND = 1000
const SKEW_SCALE = 1000
const MAXIMUM_LATENCY_MICROSECONDS = 3_600_000_000
const SIGNIFICANT_DIGITS = 3

const NO_OUTCOMES: OutcomeSummary = { complete: 0, refusedNotRun: 0, refusedUnknown: 0, broken: 0, wrong: 0 }

/**
 * Creates an empty recorder.
 *
 * @returns The recorder.
 *
 * @example
 * createLoadRecorder().summarise(1000).sent // => 0
 */
export const createLoadRecorder = (): LoadRecorder => {
  const firstToken = createHistogram()
  const betweenTokens = createHistogram()
  const wholeAnswer = createHistogram()
  const plainCall = createHistogram()
  const sendingDelay = createHistogram()
  const skew = createHistogram()
  const outcomes = new Map<RequestKind, OutcomeSummary>()
  const reasons = new Map<string, number>()
  const served = new Map<string, number>()
  const open = new Map<string, number>()
  let skipped = 0
  let promptTokens = 0
  let cachedTokens = 0
  let completionTokens = 0
  let returning = 0
  let returningCached = 0

  const recordOutcome = (kind: RequestKind, { outcome, reason }: SentRequest): void => {
    const known = outcomes.get(kind) ?? NO_OUTCOMES
    outcomes.set(kind, { ...known, [outcome]: known[outcome] + 1 })
    if (reason !== undefined) addToCount(reasons, `${outcome}: ${reason}`, 1)
  }

  const recordLatencies = (planned: PlannedRequest, sent: SentRequest): void => {
    record(isChatKind(planned.kind) ? wholeAnswer : plainCall, sent.totalMs)
    if (sent.firstTokenMs !== undefined) record(firstToken, sent.firstTokenMs)
    for (const gap of sent.betweenTokensMs) record(betweenTokens, gap)
  }

  const recordCache = (planned: PlannedRequest, sent: SentRequest): void => {
    if (sent.promptTokens === undefined || sent.cachedTokens === undefined) return
    completionTokens += sent.completionTokens ?? 0
    promptTokens += sent.promptTokens
    cachedTokens += sent.cachedTokens
    if (planned.kind !== 'chat' || planned.turn === 1) return
    returning += 1
    if (sent.cachedTokens >= countHistoryTokens(planned.messages)) returningCached += 1
  }

  return {
    recordSkipped: () => { skipped += 1 },
    recordSendingDelay: (delayMs) => record(sendingDelay, delayMs),
    recordAnswerStart: (kind, backendServer) => {
      addToCount(served, backendServer, 1)
      if (isChatKind(kind)) addToCount(open, backendServer, 1)
    },
    recordResult: (planned, sent) => {
      if (sent.servedBy !== undefined && isChatKind(planned.kind)) addToCount(open, sent.servedBy, -1)
      recordOutcome(planned.kind, sent)
      if (sent.outcome !== 'complete') return
      recordLatencies(planned, sent)
      recordCache(planned, sent)
    },
    sampleSkew: () => {
      const counts = [...open.values()]
      const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length
      // With less than one open answer per server, the ratio says nothing about the placement.
      if (mean >= 1) skew.recordValue(Math.max(...counts) / mean * SKEW_SCALE)
    },
    summarise: (durationMs) => {
      const total = sumOutcomes([...outcomes.values()])
      const sent = Object.values(total).reduce((sum, count) => sum + count, 0)
      return {
        sent,
        skipped,
        durationMs,
        requestsPerSecond: computeRatePerSecond(sent, durationMs),
        completionTokens,
        tokensPerSecond: computeRatePerSecond(completionTokens, durationMs),
        outcomes: total,
        outcomesByKind: Object.fromEntries(outcomes),
        reasons: Object.fromEntries(reasons),
        latencies: {
          firstToken: summariseLatency(firstToken),
          betweenTokens: summariseLatency(betweenTokens),
          wholeAnswer: summariseLatency(wholeAnswer),
          plainCall: summariseLatency(plainCall),
          sendingDelay: summariseLatency(sendingDelay)
        },
        cache: {
          promptTokens,
          cachedTokens,
          tokenShare: computeShare(cachedTokens, promptTokens),
          returning,
          requestShare: computeShare(returningCached, returning)
        },
        backendServers: Object.fromEntries([...served].sort()),
        skew: {
          samples: skew.totalCount,
          p50: skew.getValueAtPercentile(50) / SKEW_SCALE,
          p99: skew.getValueAtPercentile(99) / SKEW_SCALE,
          max: skew.maxValue / SKEW_SCALE
        }
      }
    }
  }
}

const createHistogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: MAXIMUM_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })

const record = (histogram: Histogram, milliseconds: number): void =>
  histogram.recordValue(Math.min(MAXIMUM_LATENCY_MICROSECONDS, Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND))))

const summariseLatency = (histogram: Histogram): LatencySummary => {
  // A percentile is the upper bound of its bucket, which may exceed the maximum.
  const inMilliseconds = (value: number): number => Math.min(value, histogram.maxValue) / MICROSECONDS_PER_MILLISECOND
  if (histogram.totalCount === 0) return { count: 0, mean: 0, p50: 0, p95: 0, p99: 0, max: 0 }
  return {
    count: histogram.totalCount,
    mean: inMilliseconds(histogram.mean),
    p50: inMilliseconds(histogram.getValueAtPercentile(50)),
    p95: inMilliseconds(histogram.getValueAtPercentile(95)),
    p99: inMilliseconds(histogram.getValueAtPercentile(99)),
    max: inMilliseconds(histogram.maxValue)
  }
}

const isChatKind = (kind: RequestKind): boolean => kind === 'chat' || kind === 'overnight'

const countHistoryTokens = (messages: readonly { readonly content: string }[]): number =>
  messages.slice(0, -1).reduce((sum, { content }) => sum + countTokens(content), 0)

const addToCount = (counts: Map<string, number>, name: string, by: number): void => { counts.set(name, (counts.get(name) ?? 0) + by) }

const computeRatePerSecond = (count: number, durationMs: number): number => durationMs > 0 ? count * MILLISECONDS_PER_SECOND / durationMs : 0

const computeShare = (part: number, whole: number): number => whole === 0 ? 0 : part / whole

const sumOutcomes = (summaries: readonly OutcomeSummary[]): OutcomeSummary =>
  summaries.reduce((left, right) => ({
    complete: left.complete + right.complete,
    refusedNotRun: left.refusedNotRun + right.refusedNotRun,
    refusedUnknown: left.refusedUnknown + right.refusedUnknown,
    broken: left.broken + right.broken,
    wrong: left.wrong + right.wrong
  }), NO_OUTCOMES)
