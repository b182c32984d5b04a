/**
 * Selects the home of a prompt for the requests of one availability zone: the server
 * to which its requests go, and to which it is copied. A prompt has one home by rank.
 * Load pattern: prompts that are asked for in every zone, whose long bodies cross zones
 * with each request. Such a prompt gets a home in each zone that asks for it.
 *
 * Whether a further home pays depends on how often the zone will still ask for the
 * prompt, which no node knows. As in the ski rental problem, each request that would
 * cross zones therefore makes the copy with the probability of its own cost over the
 * cost of the copy. The zone has then paid about one copy for crossings when the copy
 * is made, whatever the number of nodes that its requests arrive at, and a prompt with
 * a low rate is mostly not copied. No counts are exchanged: once one node has made the
 * copy, its announcement tells the others. A home that is no longer used is evicted by
 * its server and forgotten by the nodes.
 */
import { hashText } from '../../hashing/index.js'
import type { EngineCapacity } from '../../types/index.js'

/** A server that may get requests for the prompt. */
export type PromptHomeCandidate = { readonly id: string, readonly availabilityZone: string }

export type PromptHomeInput = {
  /** Key that is equal for requests with the same shared prefix; empty when nothing is shared. */
  readonly affinityKey: string
  readonly sharedTokens: number
  /** Bytes of a request and its answer. */
  readonly expectedBytes: number
  /** Zone of the node. */
  readonly availabilityZone: string
  readonly engine: Pick<EngineCapacity, 'bytesPerToken' | 'linkMbps' | 'memoryTokens'>
  /** Tokens of the prefix that a server caches, complete or not. */
  readonly readCachedTokens: (id: string) => number
  /** Longest prefix in tokens that can be copied from any server. */
  readonly copyableTokens: number
  /** Estimated tokens of all prompts that a server caches. */
  readonly estimateUsedTokens: (id: string) => number
}

/** Round trip between two zones of a region. */
const ZONE_ROUND_TRIP_MS = 2
/** Link of a small VM, which the body and the answer of a request pass. */
const NODE_LINK_MBPS = 25
/** Data that crosses zones counts twice. */
const REMOTE_COPY_FACTOR = 2
const BITS_PER_BYTE = 8
const BITS_PER_MEGABIT = 1_000_000
const MS_PER_SECOND = 1_000
/** Share of a server's memory up to which cached prompts make room for further homes; running requests need the rest. */
const HOME_MEMORY_SHARE = 0.5

const computeTransferMs = (bytes: number, linkMbps: number): number => bytes * BITS_PER_BYTE * MS_PER_SECOND / (linkMbps * BITS_PER_MEGABIT)

/**
 * Finds the highest-ranked candidate by rendezvous hashing. Nodes with the same candidates find the same one, and it
 * changes only when it leaves or a higher-ranked one joins.
 *
 * @param affinityKey - Key of the shared prefix.
 * @param candidates - Servers that may get the request.
 * @returns The candidate, or `undefined` without candidates or with an empty key.
 *
 * @example
 * findPromptHome('menu', [{ id: 's1' }])?.id // => 's1'
 */
export const findPromptHome = <Candidate extends { readonly id: string }>(affinityKey: string, candidates: readonly Candidate[]): Candidate | undefined => {
  if (affinityKey === '') return undefined
  const seed = hashText(affinityKey)
  let best: Candidate | undefined
  let bestScore = -1
  for (const candidate of candidates) {
    const score = hashText(candidate.id, seed)
    if (score <= bestScore) continue
    best = candidate
    bestScore = score
  }
  return best
}

/** Probability with which a request that would cross zones has the prompt copied into its own zone. */
const computeCopyProbability = ({ sharedTokens, expectedBytes, engine }: PromptHomeInput): number => {
  const crossingMs = ZONE_ROUND_TRIP_MS + computeTransferMs(expectedBytes, NODE_LINK_MBPS)
  const copyMs = REMOTE_COPY_FACTOR * computeTransferMs(sharedTokens * engine.bytesPerToken, engine.linkMbps)
  return crossingMs / copyMs
}

/**
 * Selects the home of a prompt for the requests of the node's zone.
 *
 * @param input - The prompt, and what the node knows of where it is cached.
 * @param candidates - Servers that may get the request.
 * @param random - Returns a number in [0, 1) per call.
 * @returns Id of the home, or `undefined` when nothing is shared.
 *
 * @example
 * selectPromptHome({ ...input, affinityKey: '' }, candidates, Math.random) // => undefined
 */
export const selectPromptHome = (input: PromptHomeInput, candidates: readonly PromptHomeCandidate[], random: () => number): string | undefined => {
  const { affinityKey, availabilityZone, sharedTokens, copyableTokens, engine } = input
  const first = findPromptHome(affinityKey, candidates)
  if (first === undefined || first.availabilityZone === availabilityZone) return first?.id
  const ofZone = findPromptHome(affinityKey, candidates.filter((candidate) => candidate.availabilityZone === availabilityZone))
  if (ofZone === undefined) return first.id
  if (input.readCachedTokens(ofZone.id) >= sharedTokens) return ofZone.id
  if (copyableTokens < sharedTokens) return first.id
  if (random() >= computeCopyProbability(input)) return first.id
  const hasRoom = input.estimateUsedTokens(ofZone.id) + sharedTokens <= HOME_MEMORY_SHARE * engine.memoryTokens
  return hasRoom ? ofZone.id : first.id
}
