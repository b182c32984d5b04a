/**
 * Which backend server gets a request. A model engine that keeps the shared
 * beginning of the prompt answers sooner and spares the others a read, so the
 * longest known prefix goes first; an even load and a short way come after,
 * each priced in prompt tokens that would have to be read.
 */
import { hashText } from '../../hashing/index.js'

export type InstanceCandidate = {
  readonly id: string
  readonly slots: number
  /** Estimated requests in flight from the whole fleet. */
  readonly load: number
  /** Tokens of the prompt's shared parts that it is believed to keep. */
  readonly keptTokens: number
  /** Tokens beyond these that it can copy from another server. */
  readonly copyableTokens: number
  readonly isInZone: boolean
  /** How many times longer than its peers it lately took; 1 when it is as fast as they are. */
  readonly slowness: number
}

export type PlacementQuestion = {
  /** Requests that share it should meet at one server; empty when nothing is shared. */
  readonly affinityKey: string
  readonly sharedTokens: number
  /** Bytes that travel between zones when the server is in another one. */
  readonly expectedBytes: number
}

export type PlacementWeights = {
  /** The promise: no server over `boundFactor` times the mean plus `boundSlack`. */
  readonly boundFactor: number
  readonly boundSlack: number
  /** Tokens that one more request in flight per slot costs, at a full server. */
  readonly tokensPerFullLoad: number
  /** Tokens that a kilobyte between zones is worth. */
  readonly tokensPerRemoteKilobyte: number
  /** Tokens read that copying one token is worth. */
  readonly copyShare: number
  /** Tokens that the key's first-ranked server is credited with, so that nodes which know nothing yet agree. */
  readonly homeTokens: number
}

/**
 * Trial figures on both sites: a bound of 1.8 times the mean plus 2 leaves room
 * for counts that are a quarter of a second old under a promise of 2 and 3, and
 * spills no chats at low load.
 */
export const defaultPlacementWeights: PlacementWeights = {
  boundFactor: 1.8,
  boundSlack: 2,
  tokensPerFullLoad: 3000,
  tokensPerRemoteKilobyte: 20,
  copyShare: 0.21,
  homeTokens: 6000
}

const scoreHome = (affinityKey: string, id: string): number => hashText(id, hashText(affinityKey))

const findHome = (affinityKey: string, candidates: readonly InstanceCandidate[]): string | undefined => {
  if (affinityKey === '') return undefined
  let best: InstanceCandidate | undefined
  let bestScore = -1
  for (const candidate of candidates) {
    const score = scoreHome(affinityKey, candidate.id)
    if (score <= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best?.id
}

/** The load that a server may have before it gets no more of a crowd. */
const computeBound = (candidates: readonly InstanceCandidate[], weights: PlacementWeights): number => {
  const mean = candidates.reduce((sum, candidate) => sum + candidate.load, 0) / candidates.length
  return weights.boundFactor * mean + weights.boundSlack
}

/**
 * Chooses among the candidates.
 *
 * The bound on the load is hard while any candidate is under it. Two
 * candidates of equal cost are told apart by `random`, so that many nodes with
 * the same view do not all pick one.
 *
 * @param question - What is known of the request.
 * @param candidates - Backend servers that may get it.
 * @param random - A number in [0, 1) per call.
 * @param weights - Prices and bounds.
 * @returns The id of the chosen one, or `undefined` without candidates.
 *
 * @example
 * placeRequest({ affinityKey: '', sharedTokens: 0, expectedBytes: 0 }, [], Math.random) // => undefined
 */
export const placeRequest = (
  question: PlacementQuestion,
  candidates: readonly InstanceCandidate[],
  random: () => number,
  weights: PlacementWeights = defaultPlacementWeights
): string | undefined => {
  if (candidates.length === 0) return undefined
  const bound = computeBound(candidates, weights)
  const home = findHome(question.affinityKey, candidates)
  const costOf = (candidate: InstanceCandidate): number => {
    const credited = candidate.id === home ? Math.max(candidate.keptTokens, Math.min(weights.homeTokens, question.sharedTokens)) : candidate.keptTokens
    const missing = Math.max(0, question.sharedTokens - credited)
    const copied = Math.min(missing, candidate.copyableTokens)
    const read = missing - copied + weights.copyShare * copied
    const crowd = weights.tokensPerFullLoad * (candidate.load + 1) / candidate.slots * candidate.slowness
    const way = candidate.isInZone ? 0 : weights.tokensPerRemoteKilobyte * question.expectedBytes / 1024
    return read + crowd + way
  }
  const open = candidates.filter(({ load, slots }) => load + 1 <= bound && load < slots)
  const eligible = open.length > 0 ? open : [...candidates].sort((left, right) => left.load / left.slots - right.load / right.slots).slice(0, 1)
  let best: string | undefined
  let bestCost = Infinity
  for (const candidate of eligible) {
    const cost = costOf(candidate) + random()
    if (cost >= bestCost) continue
    best = candidate.id
    bestCost = cost
  }
  return best
}
