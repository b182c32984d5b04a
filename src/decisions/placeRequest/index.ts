/**
 * Which backend server gets a request. A model engine that keeps the shared
 * beginning of the prompt answers sooner and spares the others a read, so the
 * longest known prefix goes first; an even load and a short way come after,
 * each priced in prompt tokens that would have to be read.
 */
import { hashText } from '../../hashing/index.js'
import { groupBy } from '../../kernel/groupBy/index.js'

export type InstanceCandidate = {
  readonly id: string
  readonly slots: number
  /** Estimated requests in flight from the whole fleet. */
  readonly load: number
  /** Tokens of the prompt's shared parts that it is believed to keep. */
  readonly keptTokens: number
  readonly availabilityZone: string
  /** How many times longer than its peers it lately took; 1 when it is as fast as they are. */
  readonly slowness: number
}

/** A server that keeps a part of the prompt and can be copied from, whether or not it may get the request. */
export type PromptKeeper = Pick<InstanceCandidate, 'id' | 'availabilityZone' | 'keptTokens'>

export type PromptPlacement = {
  readonly id: string
  /** The server to copy the prompt from; `undefined` where reading the rest is cheaper. */
  readonly copyFrom: string | undefined
}

export type PlacementQuestion = {
  /** Requests that share it should meet at the same servers; empty when nothing is shared. */
  readonly affinityKey: string
  readonly sharedTokens: number
  /** Bytes that travel between zones when the server is in another one than the node. */
  readonly expectedBytes: number
  readonly availabilityZone: string
  /**
   * Requests in flight a backend server, over the whole service: servers that may not get this request
   * count as well. Left out, the mean of the candidates takes its place.
   */
  readonly meanLoad?: number
}

export type PlacementWeights = {
  /** The promise: no server over `boundFactor` times the mean plus `boundSlack`. */
  readonly boundFactor: number
  readonly boundSlack: number
  /** Tokens that one more request in flight per slot costs, at a full server. */
  readonly tokensPerFullLoad: number
  /** Tokens that a kilobyte between zones is worth. */
  readonly tokensPerRemoteKilobyte: number
  /** Tokens read that copying one token within a zone is worth. */
  readonly copyShare: number
  /** The same between two zones, where a copy goes over twice the way. */
  readonly remoteCopyShare: number
  /** Copies of fewer tokens aren't made: the call between the servers takes longer than reading them. */
  readonly leastTokensCopied: number
  /**
   * What the key's home is credited with, as a share of the prompt. Above the price of a copy a prompt
   * moves home once its home can have it: nodes that know nothing of it, after a start or behind a cut, then
   * find it by rank alone.
   */
  readonly homeShare: number
}

/** The bound leaves room under a promise of 2 and 3 for counts that are a quarter of a second old. */
export const defaultPlacementWeights: PlacementWeights = {
  boundFactor: 1.92,
  boundSlack: 2.7,
  tokensPerFullLoad: 3000,
  tokensPerRemoteKilobyte: 20,
  copyShare: 0.2,
  remoteCopyShare: 0.4,
  leastTokensCopied: 100,
  homeShare: 0.5
}

/** The first by rendezvous: nodes with the same candidates find the same one, and it changes only when it leaves or a better one comes. */
const findFirstRanked = (affinityKey: string, candidates: readonly InstanceCandidate[]): InstanceCandidate | undefined => {
  if (affinityKey === '') return undefined
  const seed = hashText(affinityKey)
  let best: InstanceCandidate | undefined
  let bestScore = -1
  for (const candidate of candidates) {
    const score = hashText(candidate.id, seed)
    if (score <= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best
}

/** Of each zone the one that keeps most: a copy costs by zone and tokens alone, so no other is ever cheaper. */
const findBestKeepers = (keepers: readonly PromptKeeper[]): readonly PromptKeeper[] => {
  const best = new Map<string, PromptKeeper>()
  for (const keeper of keepers) {
    if (keeper.keptTokens > (best.get(keeper.availabilityZone)?.keptTokens ?? 0)) best.set(keeper.availabilityZone, keeper)
  }
  return [...best.values()]
}

type Offer = PromptPlacement & {
  /** In prompt tokens, without the price of the load. */
  readonly fixedCost: number
  readonly cost: number
}

/**
 * Of offers that differ in load alone, the better one of two drawn at random. Every node knows the same loads,
 * some of them half a second old: if each took the emptiest server, all would meet there.
 */
const drawOffer = (alike: readonly Offer[], random: () => number): Offer => {
  const first = Math.floor(random() * alike.length)
  const second = (first + 1 + Math.floor(random() * (alike.length - 1))) % alike.length
  const [one, other] = [alike[first]!, alike[second]!]
  return one.cost <= other.cost ? one : other
}

type Reading = { readonly cost: number, readonly copyFrom: string | undefined }

/** The cheapest way for a candidate to come to what it lacks of the prompt. */
const findReading = (candidate: InstanceCandidate, sharedTokens: number, keepers: readonly PromptKeeper[], weights: PlacementWeights): Reading => {
  const missing = Math.max(0, sharedTokens - candidate.keptTokens)
  let best: Reading = { cost: missing, copyFrom: undefined }
  for (const keeper of keepers) {
    const copied = Math.min(missing, keeper.keptTokens - candidate.keptTokens)
    if (copied < weights.leastTokensCopied) continue
    const share = keeper.availabilityZone === candidate.availabilityZone ? weights.copyShare : weights.remoteCopyShare
    const cost = missing - copied + share * copied
    if (cost < best.cost) best = { cost, copyFrom: keeper.id }
  }
  return best
}

const computeMeanLoad = (candidates: readonly InstanceCandidate[]): number =>
  candidates.reduce((sum, candidate) => sum + candidate.load, 0) / candidates.length

/**
 * The load that a server may have, the request to be placed included, before it gets no more of a crowd.
 *
 * @param meanLoad - Requests in flight a backend server.
 * @param weights - Factor and slack of the bound.
 * @returns The bound in requests.
 *
 * @example
 * computeLoadBound(10, { boundFactor: 2, boundSlack: 3 }) // => 23
 */
export const computeLoadBound = (meanLoad: number, { boundFactor, boundSlack }: Pick<PlacementWeights, 'boundFactor' | 'boundSlack'>): number =>
  boundFactor * meanLoad + boundSlack

/**
 * Chooses among the candidates.
 *
 * The bound on the load is hard while any candidate is under it. Of the
 * candidates that differ in load alone two are drawn, so that many nodes with
 * the same view do not all pick one.
 *
 * @param question - What is known of the request.
 * @param candidates - Backend servers that may get it.
 * @param keepers - Backend servers from which the prompt can be copied.
 * @param random - A number in [0, 1) per call.
 * @param weights - Prices and bounds.
 * @returns The chosen one, or `undefined` without candidates.
 *
 * @example
 * placeRequest({ affinityKey: '', sharedTokens: 0, expectedBytes: 0, availabilityZone: 'a' }, [], [], Math.random) // => undefined
 */
export const placeRequest = (
  question: PlacementQuestion,
  candidates: readonly InstanceCandidate[],
  keepers: readonly PromptKeeper[],
  random: () => number,
  weights: PlacementWeights = defaultPlacementWeights
): PromptPlacement | undefined => {
  if (candidates.length === 0) return undefined
  const bound = computeLoadBound(question.meanLoad ?? computeMeanLoad(candidates), weights)
  const home = findFirstRanked(question.affinityKey, candidates)
  const sources = findBestKeepers(keepers)
  const remoteWay = weights.tokensPerRemoteKilobyte * question.expectedBytes / 1024
  const open = candidates.filter(({ load, slots }) => load + 1 <= bound && load < slots)
  const eligible = open.length > 0 ? open : [...candidates].sort((left, right) => left.load / left.slots - right.load / right.slots).slice(0, 1)
  const offers = eligible.map((candidate): Offer => {
    const reading = findReading(candidate, question.sharedTokens, sources, weights)
    const crowd = weights.tokensPerFullLoad * (candidate.load + 1) / candidate.slots * candidate.slowness
    const way = candidate.availabilityZone === question.availabilityZone ? 0 : remoteWay
    const credit = candidate.id === home?.id ? weights.homeShare * question.sharedTokens : 0
    const fixedCost = reading.cost + way - credit
    return { id: candidate.id, copyFrom: reading.copyFrom, fixedCost, cost: fixedCost + crowd }
  })
  const drawn = [...groupBy(offers, ({ fixedCost }) => fixedCost).values()].map((alike) => drawOffer(alike, random))
  const { id, copyFrom } = drawn.reduce((one, other) => other.cost < one.cost ? other : one)
  return { id, copyFrom }
}
