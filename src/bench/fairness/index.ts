/**
 * Measures how the calm accounts, whose rate is constant, are affected when two others
 * send ten times as many requests. Compares the real admission at three routers, the
 * same without exchange between the routers, and first come first served.
 */
import { createSeededRandom } from '../../adapters/seededRandom/index.js'
import type { RandomSource } from '../../types/index.js'
import type { Bench, Cell, Table } from '../types.js'
import { measureFairness, measureGroup, measureWeightFairness } from './_lib/measure.js'
import type { TimeWindow } from './_lib/measure.js'
import { balanceRoundRobin, runTrial } from './_lib/runTrial.js'
import type { Balancer, Policy, RequestMeasurement } from './_lib/runTrial.js'
import { accounts, createArrivals } from './_lib/workload.js'
import type { Account, WorkloadOptions } from './_lib/workload.js'

const SURGE = 10
const RATE_PER_WEIGHT = 0.75
/** Requests per second of each account, above the share of even a large account. */
const SATURATING_RATE = 4
const WARM_UP_MS = 20_000
const SURGE_MS = { fast: 30_000, full: 120_000 }
const COOL_DOWN_MS = 10_000
/** Separates the seeds of the accounts, so that their random sources are not correlated. */
const SEED_STRIDE = 7_919

const policies: readonly { readonly policy: Policy, readonly title: string }[] = [
  { policy: 'fair', title: 'weighted fair, fleet-wide' },
  { policy: 'fairAlone', title: 'weighted fair, each router alone' },
  { policy: 'firstCome', title: 'first come first served' }
]

const isSurging = (account: Account): boolean => account.canSurge

const isCalm = (account: Account): boolean => !account.canSurge

const formatMs = (value: number): number => Math.round(value)

const formatShare = (value: number): string => value.toFixed(3)

const createRandomByAccount = (seed: number) => (index: number): RandomSource => createSeededRandom(seed + SEED_STRIDE * (index + 1))

const describeSurgeRun = (title: string, load: string, served: readonly RequestMeasurement[], window: TimeWindow): readonly Cell[] => {
  const calm = measureGroup(served, window, isCalm)
  const surging = measureGroup(served, window, isSurging)
  return [
    title, load, formatMs(calm.firstTokenP50), formatMs(calm.firstTokenP95), formatShare(calm.refusedShare), formatShare(calm.servedShare),
    formatShare(calm.tokens / (calm.tokens + surging.tokens)), formatShare(surging.refusedShare), formatShare(measureFairness(served, window))
  ]
}

const measureSurge = async (seed: number, surgeMs: number): Promise<Table> => {
  const window = { fromMs: WARM_UP_MS, toMs: WARM_UP_MS + surgeMs }
  const options: WorkloadOptions = { durationMs: window.toMs + COOL_DOWN_MS, surgeFromMs: window.fromMs, surgeToMs: window.toMs, surge: SURGE, rateOf: ({ weight }) => weight * RATE_PER_WEIGHT }
  const random = createRandomByAccount(seed)
  const rows: (readonly Cell[])[] = []
  for (const { policy, title } of policies) {
    for (const surge of [1, SURGE]) {
      const served = await runTrial(createArrivals(random, { ...options, surge }), policy)
      rows.push(describeSurgeRun(title, surge === 1 ? 'no surge' : `two accounts x${surge}`, served, window))
    }
  }
  return {
    title: `Eight calm accounts while two of ten surge for ${surgeMs / 1_000} s (first-token times in ms, of complete answers)`,
    columns: ['policy', 'load', 'calm p50', 'calm p95', 'calm refused', 'calm tokens served/asked', 'calm share of tokens', 'surging refused', "Jain's index (work / max-min share)"],
    rows
  }
}

/** Sends the requests of the calm accounts of weight 1 to one router, as sticky connections would. */
const pinCalmAccounts: Balancer = (arrival, index) => arrival.account.name.startsWith('calm') ? 0 : balanceRoundRobin(arrival, index)

const balancers: readonly { readonly balance: Balancer, readonly title: string }[] = [
  { balance: balanceRoundRobin, title: 'spread over all routers' },
  { balance: pinCalmAccounts, title: 'six accounts reach one router only' }
]

const measureSaturation = async (seed: number, durationMs: number): Promise<Table> => {
  const window = { fromMs: WARM_UP_MS, toMs: WARM_UP_MS + durationMs }
  const options: WorkloadOptions = { durationMs: window.toMs + COOL_DOWN_MS, surgeFromMs: 0, surgeToMs: 0, surge: 1, rateOf: () => SATURATING_RATE }
  const arrivals = createArrivals(createRandomByAccount(seed), options)
  const rows: (readonly Cell[])[] = []
  for (const { balance, title: spread } of balancers) {
    for (const { policy, title } of policies) {
      const served = await runTrial(arrivals, policy, balance)
      const large = measureGroup(served, window, (account) => account.weight > 1)
      const all = measureGroup(served, window, () => true)
      rows.push([spread, title, formatShare(measureWeightFairness(served, window)), formatShare(large.tokens / all.tokens), formatShare(all.servedShare)])
    }
  }
  const weights = accounts.reduce((sum, { weight }) => sum + weight, 0)
  const largeWeights = accounts.filter(({ weight }) => weight > 1).reduce((sum, { weight }) => sum + weight, 0)
  return {
    title: `All ten accounts ask for equally much, more than their shares, for ${durationMs / 1_000} s`,
    columns: ['requests', 'policy', "Jain's index (work / weight)", `large accounts' share of tokens (weights: ${formatShare(largeWeights / weights)})`, 'tokens served/asked'],
    rows
  }
}

/**
 * Runs the benchmark.
 *
 * @param options - Size and seed.
 * @returns A table for the surge, and one for saturation.
 *
 * @example
 * const tables = await runFairnessBench({ fast: true, seed: 1 })
 */
export const runFairnessBench: Bench = async ({ fast, seed }) => {
  const durationMs = fast ? SURGE_MS.fast : SURGE_MS.full
  return [await measureSurge(seed, durationMs), await measureSaturation(seed, durationMs)]
}
