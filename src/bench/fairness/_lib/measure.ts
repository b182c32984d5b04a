/** Computes the results of one run over the requests that arrived in a time window. */
import type { RequestMeasurement } from './runTrial.js'
import { accounts } from './workload.js'
import type { Account } from './workload.js'

export type TimeWindow = { readonly fromMs: number, readonly toMs: number }

export type GroupMetrics = {
  readonly firstTokenP50: number
  readonly firstTokenP95: number
  readonly refusedShare: number
  /** Tokens of complete answers, as a share of the tokens requested. */
  readonly servedShare: number
  readonly tokens: number
}

const quantile = (sorted: readonly number[], share: number): number =>
  sorted.length === 0 ? NaN : sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!

const countTokens = (served: readonly RequestMeasurement[]): number =>
  served.reduce((sum, { arrival }) => sum + arrival.promptTokens + arrival.outputTokens, 0)

const isInWindow = ({ arrival }: RequestMeasurement, window: TimeWindow): boolean => arrival.at >= window.fromMs && arrival.at < window.toMs

export const measureGroup = (served: readonly RequestMeasurement[], window: TimeWindow, isMember: (account: Account) => boolean): GroupMetrics => {
  const group = served.filter((result) => isInWindow(result, window) && isMember(result.arrival.account))
  const complete = group.filter(({ outcome }) => outcome === 'complete')
  const firstTokens = complete.map(({ firstTokenMs }) => firstTokenMs).sort((left, right) => left - right)
  return {
    firstTokenP50: quantile(firstTokens, 0.5),
    firstTokenP95: quantile(firstTokens, 0.95),
    refusedShare: (group.length - complete.length) / group.length,
    servedShare: countTokens(complete) / countTokens(group),
    tokens: countTokens(complete)
  }
}

/** Jain's index: 1 when all values are equal, 1/n when one has all. */
const computeJainIndex = (values: readonly number[]): number => {
  const sum = values.reduce((total, value) => total + value, 0)
  const squares = values.reduce((total, value) => total + value * value, 0)
  return squares === 0 ? 1 : sum * sum / (values.length * squares)
}

type Demand = { readonly weight: number, readonly tokens: number }

/** Splits `capacity` into weighted max-min shares; no share exceeds its demand. */
const computeMaxMinShares = (demands: readonly Demand[], capacity: number): readonly number[] => {
  const shares = demands.map(() => 0)
  let open = demands.map((_, index) => index)
  let remainingCapacity = capacity
  while (open.length > 0) {
    const weights = open.reduce((sum, index) => sum + demands[index]!.weight, 0)
    const level = remainingCapacity / weights
    const satisfied = open.filter((index) => demands[index]!.tokens <= level * demands[index]!.weight)
    if (satisfied.length === 0) {
      for (const index of open) shares[index] = level * demands[index]!.weight
      return shares
    }
    for (const index of satisfied) {
      shares[index] = demands[index]!.tokens
      remainingCapacity -= demands[index]!.tokens
    }
    open = open.filter((index) => !satisfied.includes(index))
  }
  return shares
}

/** Jain's index of the ratio between each account's completed work and its weighted max-min share of all completed work. */
export const measureFairness = (served: readonly RequestMeasurement[], window: TimeWindow): number => {
  const inWindow = served.filter((result) => isInWindow(result, window))
  const filterByAccount = (account: Account): readonly RequestMeasurement[] => inWindow.filter(({ arrival }) => arrival.account === account)
  const work = accounts.map((account) => countTokens(filterByAccount(account).filter(({ outcome }) => outcome === 'complete')))
  const demands = accounts.map((account) => ({ weight: account.weight, tokens: countTokens(filterByAccount(account)) }))
  const shares = computeMaxMinShares(demands, work.reduce((sum, tokens) => sum + tokens, 0))
  return computeJainIndex(work.map((tokens, index) => tokens / shares[index]!))
}

/** Jain's index of completed work by weight, for runs in which every account requests more than its share. */
export const measureWeightFairness = (served: readonly RequestMeasurement[], window: TimeWindow): number => {
  const complete = served.filter((result) => isInWindow(result, window) && result.outcome === 'complete')
  return computeJainIndex(accounts.map((account) => countTokens(complete.filter(({ arrival }) => arrival.account === account)) / account.weight))
}
