/** Generates the requests of ten accounts, two of which may temporarily send several times as many. */
import type { RandomSource } from '../../../types/index.js'

export type Account = { readonly name: string, readonly weight: number, readonly canSurge: boolean }

export type Arrival = {
  readonly at: number
  readonly account: Account
  readonly promptTokens: number
  readonly outputTokens: number
}

export type WorkloadOptions = {
  readonly durationMs: number
  readonly surgeFromMs: number
  readonly surgeToMs: number
  /** Factor by which the rate of the surging accounts rises; 1 for no surge. */
  readonly surge: number
  /** Requests per second of one account, without the surge. */
  readonly rateOf: (account: Account) => number
}

const MINIMUM_PROMPT_TOKENS = 50
const MAXIMUM_PROMPT_TOKENS = 400
const MINIMUM_OUTPUT_TOKENS = 20
const MAXIMUM_OUTPUT_TOKENS = 180

/** Eight accounts of weight 1, of which two surge, and two large ones of weight 3. */
export const accounts: readonly Account[] = [
  ...Array.from({ length: 6 }, (_, index) => ({ name: `calm-${index + 1}`, weight: 1, canSurge: false })),
  { name: 'large-1', weight: 3, canSurge: false },
  { name: 'large-2', weight: 3, canSurge: false },
  { name: 'surging-1', weight: 1, canSurge: true },
  { name: 'surging-2', weight: 1, canSurge: true }
]

const drawBetween = (random: RandomSource, low: number, high: number): number => low + Math.floor(random.next() * (high - low + 1))

const rateAt = (account: Account, at: number, options: WorkloadOptions): number => {
  const isSurging = account.canSurge && at >= options.surgeFromMs && at < options.surgeToMs
  return options.rateOf(account) * (isSurging ? options.surge : 1)
}

/** Poisson arrivals of one account, drawn at the rate of the surge and thinned outside of it. */
const createAccountArrivals = (account: Account, random: RandomSource, options: WorkloadOptions): readonly Arrival[] => {
  const highestRate = options.rateOf(account) * Math.max(1, options.surge)
  const arrivals: Arrival[] = []
  let at = 0
  for (;;) {
    at += -Math.log(1 - random.next()) * 1_000 / highestRate
    if (at >= options.durationMs) return arrivals
    const isKept = random.next() < rateAt(account, at, options) / highestRate
    const promptTokens = drawBetween(random, MINIMUM_PROMPT_TOKENS, MAXIMUM_PROMPT_TOKENS)
    const outputTokens = drawBetween(random, MINIMUM_OUTPUT_TOKENS, MAXIMUM_OUTPUT_TOKENS)
    if (isKept) arrivals.push({ at, account, promptTokens, outputTokens })
  }
}

/**
 * Generates all arrivals of a run.
 *
 * @param createRandom - Creates a separate random source for each account, so that a surge does not change the requests of other accounts.
 * @param options - Rates in requests per second, and times in milliseconds.
 * @returns The arrivals in order of time.
 */
export const createArrivals = (createRandom: (index: number) => RandomSource, options: WorkloadOptions): readonly Arrival[] =>
  accounts
    .flatMap((account, index) => createAccountArrivals(account, createRandom(index), options))
    .sort((left, right) => left.at - right.at)
