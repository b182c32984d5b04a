/** Computes what a server's present work costs a request that is placed there, in prompt tokens to prefill. */
import type { InstanceCandidate } from '../index.js'

/** Work of a model engine whose capacity is known. */
export type CandidateWork = {
  /** Prompt tokens that it has still to read before those of this request. */
  readonly unreadTokens: number
  /** Memory that its running requests leave free, in tokens. */
  readonly memoryFreeTokens: number
  /** Least number of tokens that are read again when a running request is pre-empted. */
  readonly meanRequestTokens: number
}

export type LoadCostInput = {
  readonly tokensPerFullLoad: number
  /** Cost of the prompt's tokens that are missing there. */
  readonly prefixCost: number
  /** Memory that the request needs beyond what is cached there, in tokens. */
  readonly memoryTokens: number
}

/** A pre-empted request is read again as a whole, so a small shortage costs as much as the mean request. */
const computePreemptionCost = ({ memoryFreeTokens, meanRequestTokens }: CandidateWork, memoryTokens: number): number => {
  const shortage = memoryTokens - memoryFreeTokens
  return shortage <= 0 ? 0 : Math.max(shortage, meanRequestTokens)
}

/** Computes what each request in flight adds to the cost. */
export const computeRequestCost = ({ slots, slowness, slowdown = 1 }: InstanceCandidate, tokensPerFullLoad: number): number =>
  tokensPerFullLoad / slots * slowness * slowdown

/** Computes the cost. Without work and slowdown it is that of the requests in flight alone. */
export const computeLoadCost = (candidate: InstanceCandidate, { tokensPerFullLoad, prefixCost, memoryTokens }: LoadCostInput): number => {
  const { work, slowdown = 1 } = candidate
  const requestCost = computeRequestCost(candidate, tokensPerFullLoad) * (candidate.load + 1)
  if (work === undefined) return requestCost
  return requestCost + slowdown * work.unreadTokens + (slowdown - 1) * prefixCost + computePreemptionCost(work, memoryTokens)
}
