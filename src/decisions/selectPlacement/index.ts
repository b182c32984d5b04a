/**
 * Selects the backend server for a request to a model service. A model engine that
 * has the prompt's shared prefix in its cache responds sooner and skips the prefill of
 * that prefix. The cost of a server is the sum of the missing prefix, its load and the
 * traffic between availability zones, all expressed in prompt tokens to prefill. Load
 * pattern: a burst of long and short prompts at engines that have still much to read,
 * some of them slow for a moment, where the number of requests says little about the wait.
 */
import { hashText } from '../../hashing/index.js'
import { computeFillShares, type FillOption } from '../computeFillShares/index.js'
import { estimateLoad } from '../estimateLoad/index.js'
import { computeLoadCost, computeRequestCost, type CandidateWork } from './_lib/computeLoadCost.js'

export type { CandidateWork }

export type InstanceCandidate = {
  readonly id: string
  readonly slots: number
  /** Estimated requests in flight from the whole fleet. */
  readonly load: number
  /** Of these, requests of this node, whose number is exact; 0 by default. */
  readonly ownLoad?: number
  /** Requests in flight from other nodes, averaged over the last counts; the last count by default. */
  readonly averageOthersLoad?: number
  /** Share of the other nodes' counted requests that are still in flight; 1 by default. */
  readonly countSurvival?: number
  /** Estimated number of tokens of the prompt's shared prefix that are in its prompt cache. */
  readonly cachedPromptTokens: number
  readonly availabilityZone: string
  /** Factor by which its recent requests took longer than those of its peers; 1 when it is as fast as they are. */
  readonly slowness: number
  /** Omitted where the capacity of the engine is not known. */
  readonly work?: CandidateWork
  /** How long work takes there, as a multiple of the usual time, where the server stated it a moment ago. */
  readonly slowdown?: number
}

/** A server that caches a prefix of the prompt, which can be copied from it whether or not the server may get the request. */
export type PromptCopySource = Pick<InstanceCandidate, 'id' | 'availabilityZone' | 'cachedPromptTokens'>

export type PromptPlacement = {
  readonly id: string
  /** The server to copy the cached prefix from; `undefined` where prefilling the missing tokens is cheaper. */
  readonly copyFrom: string | undefined
}

export type PlacementInput = {
  /** Key that is equal for requests with the same shared prefix, which should go to the same servers; empty when nothing is shared. */
  readonly affinityKey: string
  readonly sharedTokens: number
  /** Bytes transferred between zones when the server is in another zone than the node. */
  readonly expectedBytes: number
  readonly availabilityZone: string
  /**
   * Mean number of requests in flight per backend server of the service, including servers that may not
   * get this request. Defaults to the mean of the candidates.
   */
  readonly meanLoad?: number
  /** Memory that the request needs besides the shared prefix: the rest of its prompt and its expected output, in tokens. 0 by default. */
  readonly ownMemoryTokens?: number
}

export type PlacementWeights = {
  /** Load bound: no server gets more than `boundFactor` times the mean load plus `boundSlack`. */
  readonly boundFactor: number
  readonly boundSlack: number
  /** Cost in tokens of a server whose slots are all in use; proportionally less at lower load. */
  readonly tokensPerFullLoad: number
  /** Cost in tokens of a kilobyte transferred between zones. */
  readonly tokensPerRemoteKilobyte: number
  /** Cost of copying a token within a zone, as a share of the cost of prefilling it. */
  readonly copyCostShare: number
  /** The same between two zones, where the data of a copy crosses zones and counts twice. */
  readonly remoteCopyCostShare: number
  /** Minimum tokens per copy: for fewer, the call between the servers takes longer than prefilling them. */
  readonly minimumTokensCopied: number
  /**
   * Cost reduction for the key's home, the server that ranks highest for the key, as a share of the shared
   * prefix. As it exceeds the cost of a copy, a prefix is copied to its home as soon as the home is eligible.
   * Nodes without prompt cache state, after a start or a network partition, then find it by rank alone.
   */
  readonly homeCreditShare: number
}

/** The bound is below the guaranteed factor of 2 and slack of 3, which leaves room for load counts that are up to 250 ms old. */
export const defaultPlacementWeights: PlacementWeights = {
  boundFactor: 1.92,
  boundSlack: 2.7,
  tokensPerFullLoad: 3000,
  tokensPerRemoteKilobyte: 20,
  copyCostShare: 0.2,
  remoteCopyCostShare: 0.4,
  minimumTokensCopied: 100,
  homeCreditShare: 0.5
}

/** Finds the highest-ranked candidate by rendezvous hashing. Nodes with the same candidates find the same one, and it changes only when it leaves or a higher-ranked one joins. */
const findHome = (affinityKey: string, candidates: readonly InstanceCandidate[]): InstanceCandidate | undefined => {
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

/** Selects the server with the longest cached prefix in each zone. The cost of a copy depends on zone and tokens only, so no other server is cheaper. */
const selectCopySources = (servers: readonly PromptCopySource[]): readonly PromptCopySource[] => {
  const best = new Map<string, PromptCopySource>()
  for (const server of servers) {
    if (server.cachedPromptTokens > (best.get(server.availabilityZone)?.cachedPromptTokens ?? 0)) best.set(server.availabilityZone, server)
  }
  return [...best.values()]
}

type PlacementOption = PromptPlacement & FillOption & {
  /** Cost in prompt tokens of the missing prefix, less the credit of the home. */
  readonly promptCost: number
  /** Cost in prompt tokens of the bytes that cross zones. */
  readonly transferCost: number
  /** Requests that other nodes have probably begun there since they were counted. */
  readonly uncountedLoad: number
}

/** Groups options that differ by less than the cost of one request, apart from their load and their cached prefixes. */
const groupAlike = (options: readonly PlacementOption[]): readonly (readonly PlacementOption[])[] => {
  const groups: PlacementOption[][] = []
  for (const option of [...options].sort((left, right) => left.promptCost - right.promptCost || left.transferCost - right.transferCost)) {
    const [cheapest] = groups.at(-1) ?? []
    const isAlike = cheapest?.promptCost === option.promptCost && option.transferCost - cheapest.transferCost < cheapest.costPerRequest
    if (isAlike) groups.at(-1)!.push(option)
    else groups.push([option])
  }
  return groups
}

/** Draws one of several options that are alike but for their load, so that the nodes together fill up the least loaded ones. */
const drawOption = (options: readonly PlacementOption[], random: () => number): PlacementOption => {
  const shares = computeFillShares(options, options.reduce((sum, { uncountedLoad }) => sum + uncountedLoad, 0))
  let rest = random()
  return options.find((_, index) => (rest -= shares[index]!) < 0) ?? options.at(-1)!
}

type PrefixSupply = { readonly cost: number, readonly copyFrom: string | undefined }

/** Selects the cheapest way for a candidate to get the prefix tokens that it lacks: prefill, or a copy from another server. */
const selectPrefixSupply = (candidate: InstanceCandidate, sharedTokens: number, copySources: readonly PromptCopySource[], weights: PlacementWeights): PrefixSupply => {
  const missing = Math.max(0, sharedTokens - candidate.cachedPromptTokens)
  let best: PrefixSupply = { cost: missing, copyFrom: undefined }
  for (const source of copySources) {
    const copied = Math.min(missing, source.cachedPromptTokens - candidate.cachedPromptTokens)
    if (copied < weights.minimumTokensCopied) continue
    const share = source.availabilityZone === candidate.availabilityZone ? weights.copyCostShare : weights.remoteCopyCostShare
    const cost = missing - copied + share * copied
    if (cost < best.cost) best = { cost, copyFrom: source.id }
  }
  return best
}

/** Even new counts don't tell what others send at this moment: in a burst, many requests begin between the count and the decision. */
const MAXIMUM_COUNT_SURVIVAL = 0.75

const readOthersLoad = ({ load, ownLoad = 0 }: InstanceCandidate): number => Math.max(0, load - ownLoad)

/** What is left of the counted requests, and what has probably begun since. */
const splitLoad = (candidate: InstanceCandidate): { readonly countedLoad: number, readonly uncountedLoad: number } => {
  const survival = Math.min(candidate.countSurvival ?? 1, MAXIMUM_COUNT_SURVIVAL)
  const othersLoad = readOthersLoad(candidate)
  return {
    countedLoad: candidate.load - (1 - survival) * othersLoad,
    uncountedLoad: (1 - survival) * (candidate.averageOthersLoad ?? othersLoad)
  }
}

/** Nine in ten loads are at most this many standard deviations above the expected one. */
const BOUND_DEVIATIONS = 1.28

/**
 * Whether one more request keeps the server under the load bound, with a margin for what its count leaves open.
 *
 * @param candidate - The server.
 * @param bound - Highest load in requests, the one to be placed included.
 * @returns Whether the request may be sent there while the bound holds.
 *
 * @example
 * isUnderLoadBound({ id: 's1', slots: 8, load: 4, cachedPromptTokens: 0, availabilityZone: 'a', slowness: 1 }, 5) // => true
 */
export const isUnderLoadBound = (candidate: InstanceCandidate, bound: number): boolean => {
  const othersLoad = readOthersLoad(candidate)
  const { ownLoad = 0, averageOthersLoad = othersLoad, countSurvival = 1 } = candidate
  const { expected, deviation } = estimateLoad({ ownLoad, othersLoad, averageOthersLoad, countSurvival })
  return expected + BOUND_DEVIATIONS * deviation + 1 <= bound
}

const computeMeanLoad = (candidates: readonly InstanceCandidate[]): number =>
  candidates.reduce((sum, candidate) => sum + candidate.load, 0) / candidates.length

/**
 * Computes the maximum load of a server, including the request to be placed. A server at the bound gets no more
 * requests while another server is below it.
 *
 * @param meanLoad - Mean number of requests in flight per backend server.
 * @param weights - Factor and slack of the bound.
 * @returns The bound in requests.
 *
 * @example
 * computeLoadBound(10, { boundFactor: 2, boundSlack: 3 }) // => 23
 */
export const computeLoadBound = (meanLoad: number, { boundFactor, boundSlack }: Pick<PlacementWeights, 'boundFactor' | 'boundSlack'>): number =>
  boundFactor * meanLoad + boundSlack

/**
 * Selects the candidate with the lowest cost.
 *
 * Candidates over the load bound are excluded while any is below it. Of the
 * candidates that differ in load only, two are drawn at random, so that many
 * nodes with the same view do not all select the same one.
 *
 * @param input - The request to place.
 * @param candidates - Backend servers that may get the request.
 * @param copySources - Backend servers from which a cached prefix can be copied.
 * @param random - Returns a number in [0, 1) per call.
 * @param weights - Costs and bounds.
 * @returns The placement, or `undefined` without candidates.
 *
 * @example
 * selectPlacement({ affinityKey: '', sharedTokens: 0, expectedBytes: 0, availabilityZone: 'a' }, [], [], Math.random) // => undefined
 */
export const selectPlacement = (
  input: PlacementInput,
  candidates: readonly InstanceCandidate[],
  copySources: readonly PromptCopySource[],
  random: () => number,
  weights: PlacementWeights = defaultPlacementWeights
): PromptPlacement | undefined => {
  if (candidates.length === 0) return undefined
  const bound = computeLoadBound(input.meanLoad ?? computeMeanLoad(candidates), weights)
  const home = findHome(input.affinityKey, candidates)
  const bestCopySources = selectCopySources(copySources)
  const remoteTransferCost = weights.tokensPerRemoteKilobyte * input.expectedBytes / 1024
  const open = candidates.filter((candidate) => isUnderLoadBound(candidate, bound) && candidate.load < candidate.slots)
  const eligible = open.length > 0 ? open : [...candidates].sort((left, right) => left.load / left.slots - right.load / right.slots).slice(0, 1)
  const options = eligible.map((candidate): PlacementOption => {
    const prefixSupply = selectPrefixSupply(candidate, input.sharedTokens, bestCopySources, weights)
    const missingTokens = Math.max(0, input.sharedTokens - candidate.cachedPromptTokens)
    const { countedLoad, uncountedLoad } = splitLoad(candidate)
    const loadCost = computeLoadCost({ ...candidate, load: countedLoad }, {
      tokensPerFullLoad: weights.tokensPerFullLoad,
      prefixCost: prefixSupply.cost,
      memoryTokens: missingTokens + (input.ownMemoryTokens ?? 0)
    })
    const transferCost = candidate.availabilityZone === input.availabilityZone ? 0 : remoteTransferCost
    const homeCredit = candidate.id === home?.id ? weights.homeCreditShare * input.sharedTokens : 0
    const promptCost = prefixSupply.cost - homeCredit
    return {
      id: candidate.id,
      copyFrom: prefixSupply.copyFrom,
      promptCost,
      transferCost,
      cost: promptCost + transferCost + loadCost,
      costPerRequest: computeRequestCost(candidate, weights.tokensPerFullLoad),
      uncountedLoad
    }
  })
  const drawn = groupAlike(options).map((alike) => drawOption(alike, random))
  const { id, copyFrom } = drawn.reduce((one, other) => other.cost < one.cost ? other : one)
  return { id, copyFrom }
}
