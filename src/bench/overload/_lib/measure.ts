/** Computes what callers got in one run, over the requests that arrived in the measured time. */
import type { CallOutcome } from '../../../emulator/playArrivals/index.js'

export type ServiceMeasurement = {
  /** Work of answers that are complete and began within their latency target, as a multiple of what the engines do in that time. */
  readonly goodput: number
  /** Work of all complete answers, in the same unit. */
  readonly completeWork: number
  /** Quantiles of the time to the first token in milliseconds, over all requests that got one. */
  readonly firstToken: { readonly p50: number, readonly p95: number, readonly p99: number }
  /** Shares of the requests. */
  readonly inTarget: number
  readonly refused: number
  readonly brokenOff: number
  readonly left: number
}

const quantile = (sorted: readonly number[], share: number): number =>
  sorted.length === 0 ? NaN : sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]!

const sumWork = (outcomes: readonly CallOutcome[]): number => outcomes.reduce((sum, { arrival }) => sum + arrival.workMs, 0)

const isInTarget = ({ arrival, outcome, firstTokenMs }: CallOutcome): boolean => outcome === 'complete' && (firstTokenMs ?? Infinity) <= arrival.kind.latencyTargetMs

/** Measures the outcomes; `capacityMs` is the work that the engines do in the measured time. */
export const measureService = (outcomes: readonly CallOutcome[], capacityMs: number): ServiceMeasurement => {
  const computeShare = (matches: (outcome: CallOutcome) => boolean): number => outcomes.filter(matches).length / outcomes.length
  const firstTokens = outcomes.flatMap(({ firstTokenMs }) => firstTokenMs ?? []).sort((left, right) => left - right)
  return {
    goodput: sumWork(outcomes.filter(isInTarget)) / capacityMs,
    completeWork: sumWork(outcomes.filter(({ outcome }) => outcome === 'complete')) / capacityMs,
    firstToken: { p50: quantile(firstTokens, 0.5), p95: quantile(firstTokens, 0.95), p99: quantile(firstTokens, 0.99) },
    inTarget: computeShare(isInTarget),
    refused: computeShare(({ outcome }) => outcome === 'refused'),
    brokenOff: computeShare(({ outcome }) => outcome === 'brokenOff'),
    left: computeShare(({ outcome }) => outcome === 'left')
  }
}
