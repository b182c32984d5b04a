/**
 * Generates the requests of a model service's callers: three kinds by priority, a few
 * large client accounts among small ones, and a load pattern that begins and ends at
 * given times. Each kind of each account has its own random source, so that a surge
 * does not change the requests of the others.
 */
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import type { PromptPart, RandomSource } from '../../types/index.js'
import { callerAccounts, requestKinds, type CallerAccount, type LoadPattern, type RequestKind } from './_lib/loadPatterns.js'

export { callerAccounts, loadPatterns, requestKinds } from './_lib/loadPatterns.js'
export type { CallerAccount, LoadPattern, LoadPatternName, RequestKind } from './_lib/loadPatterns.js'

/** Pace of one engine with a full batch. */
export type EnginePace = {
  readonly promptMsPerToken: number
  /** Time of the whole engine for one token of one answer, in milliseconds. */
  readonly answerMsPerToken: number
}

export type CallerArrival = {
  /** Milliseconds from the start. */
  readonly at: number
  readonly requestId: string
  readonly kind: RequestKind
  readonly account: string
  readonly promptParts: readonly PromptPart[]
  readonly answerTokens: number
  /** The caller's estimate of `answerTokens`: right at the median, often far off. */
  readonly estimatedAnswerTokens: number
  /** Time of one engine that it takes, in milliseconds, apart from the part of the prompt that is usually cached. */
  readonly workMs: number
  /** Number in [0, 1) that selects the node. */
  readonly draw: number
  /** How often the caller repeats it at once after a refusal. */
  readonly repeats: number
  /** After how long the caller leaves without a first token; `undefined` when it waits. */
  readonly leavesAfterMs: number | undefined
}

export type ArrivalsOptions = {
  readonly seed: number
  readonly pattern: LoadPattern
  /** Work that arrives without the pattern, as a multiple of what the engines do. */
  readonly load: number
  readonly engines: number
  readonly pace: EnginePace
  readonly durationMs: number
  readonly trouble: { readonly fromMs: number, readonly toMs: number }
}

type Stream = { readonly kind: RequestKind, readonly account: CallerAccount, readonly requestsPerMs: number }

/** Prompt that the requests of one kind and account have in common, in tokens. */
const SHARED_PROMPT_TOKENS = 500
/** Longest prompt and answer in tokens: an engine has to hold each of them. */
const MAXIMUM_PROMPT_TOKENS = 24_000
export const MAXIMUM_ANSWER_TOKENS = 1_500
/** Standard deviation of the logarithm of an estimate's error. */
const ESTIMATE_SPREAD = 0.7
/** Separates the seeds of the random sources. */
const SEED_STRIDE = 7_919
/** Numbers dropped from each random source: the first ones of small seeds are alike and close to 1. */
const DROPPED_NUMBERS = 16

const createStreamRandom = (seed: number, index: number): RandomSource => {
  const random = createSeededRandom(seed + SEED_STRIDE * (index + 1))
  for (let dropped = 0; dropped < DROPPED_NUMBERS; dropped++) random.next()
  return random
}

const drawNormal = (random: RandomSource): number => Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())

const drawTokens = (random: RandomSource, median: number, spread: number, maximum: number): number =>
  Math.max(1, Math.min(maximum, Math.round(median * Math.exp(spread * drawNormal(random)))))

const computeWorkMs = (pace: EnginePace, promptTokens: number, answerTokens: number): number => promptTokens * pace.promptMsPerToken + answerTokens * pace.answerMsPerToken

/** The mean of a lognormal distribution is its median times this factor. */
const computeMeanFactor = (spread: number): number => Math.exp(spread ** 2 / 2)

const computeMeanWorkMs = (pace: EnginePace): number =>
  requestKinds.reduce((sum, { share, promptTokens, answerTokens, spread }) => sum + share * computeMeanFactor(spread) * computeWorkMs(pace, promptTokens, answerTokens), 0)

const listStreams = ({ load, engines, pace }: ArrivalsOptions): readonly Stream[] => {
  const requestsPerMs = load * engines / computeMeanWorkMs(pace)
  const weights = callerAccounts.reduce((sum, { weight }) => sum + weight, 0)
  return requestKinds.flatMap((kind) => callerAccounts.map((account) => ({ kind, account, requestsPerMs: requestsPerMs * kind.share * account.weight / weights })))
}

const computeSurge = ({ kindSurge, accountSurge }: LoadPattern, { kind, account }: Stream): number =>
  (kindSurge?.kind === kind.name ? kindSurge.factor : 1) * (accountSurge?.account === account.name ? accountSurge.factor : 1)

const isLongestPrompt = (kind: RequestKind): boolean => requestKinds.every(({ promptTokens }) => promptTokens <= kind.promptTokens)

const createArrival = ({ pattern, pace }: ArrivalsOptions, { kind, account }: Stream, random: RandomSource, at: number, isTroubled: boolean, requestId: string): CallerArrival => {
  const promptFactor = isTroubled && isLongestPrompt(kind) ? pattern.promptFactor ?? 1 : 1
  const promptTokens = drawTokens(random, kind.promptTokens * promptFactor, kind.spread, MAXIMUM_PROMPT_TOKENS)
  const answerTokens = drawTokens(random, kind.answerTokens, kind.spread, MAXIMUM_ANSWER_TOKENS)
  const estimatedAnswerTokens = drawTokens(random, answerTokens, ESTIMATE_SPREAD, MAXIMUM_ANSWER_TOKENS)
  const [repeatDraw, leaveDraw, draw] = [random.next(), random.next(), random.next()]
  const { repeating, leaving } = isTroubled ? pattern : {} as LoadPattern
  return {
    at,
    requestId,
    kind,
    account: account.name,
    promptParts: [{ id: `${kind.name} of ${account.name}`, tokens: SHARED_PROMPT_TOKENS }, { id: requestId, tokens: promptTokens }],
    answerTokens,
    estimatedAnswerTokens,
    workMs: computeWorkMs(pace, promptTokens, answerTokens),
    draw,
    repeats: repeating !== undefined && repeatDraw < repeating.share ? repeating.times : 0,
    leavesAfterMs: leaving !== undefined && leaveDraw < leaving.share ? leaving.targetMultiple * kind.latencyTargetMs : undefined
  }
}

/** Poisson arrivals of one stream, drawn at the rate of its surge and thinned outside of it. */
const createStreamArrivals = (options: ArrivalsOptions, stream: Stream, random: RandomSource): readonly CallerArrival[] => {
  const { pattern, durationMs, trouble } = options
  const surge = computeSurge(pattern, stream)
  const arrivals: CallerArrival[] = []
  let at = 0
  for (let index = 0; ; index++) {
    at += -Math.log(1 - random.next()) / (stream.requestsPerMs * surge)
    if (at >= durationMs) return arrivals
    const isTroubled = at >= trouble.fromMs && at < trouble.toMs
    const isKept = random.next() < (isTroubled ? 1 : 1 / surge)
    const arrival = createArrival(options, stream, random, at, isTroubled, `${stream.kind.name}-${stream.account.name}-${index}`)
    if (isKept) arrivals.push(arrival)
  }
}

/**
 * Generates all requests of a run.
 *
 * @param options - Seed, load, pattern, and the times in milliseconds.
 * @returns The requests in order of time.
 *
 * @example
 * createArrivals({ seed: 1, pattern: loadPatterns.steady, load: 2, engines: 4, pace, durationMs: 20_000, trouble: { fromMs: 5_000, toMs: 15_000 } })
 */
export const createArrivals = (options: ArrivalsOptions): readonly CallerArrival[] =>
  listStreams(options)
    .flatMap((stream, index) => createStreamArrivals(options, stream, createStreamRandom(options.seed, index)))
    .sort((left, right) => left.at - right.at)
