/**
 * Ranks backend servers by weighted rendezvous hashing: all routers compute the
 * same ranking for a chat without a shared table, and a server that leaves moves
 * only the chats that ranked it first.
 */
import { hashText } from '../../hashing/index.js'

/** A backend server that may be selected. */
export type PlacementCandidate = {
  readonly name: string
  /** Share of the work it should get, in slots. Greater than 0. */
  readonly weight: number
}

const HASH_RANGE = 2 ** 32

const scoreCandidate = (keyHash: number, candidate: PlacementCandidate): number => {
  const uniform = (hashText(candidate.name, keyHash) + 0.5) / HASH_RANGE
  return -candidate.weight / Math.log(uniform)
}

/**
 * Ranks backend servers for a chat, the preferred one first.
 *
 * The probability of ranking first is a candidate's share of the total weight.
 * Adding or removing a candidate does not change the order of the others.
 *
 * @param chatKey - Key of the chat, the same on every turn.
 * @param candidates - The backend servers that may serve the chat, in any order.
 * @returns A new array with the same candidates, ranked.
 *
 * @example
 * rankBackendServers('chat-1', [{ name: 'engine-1', weight: 8 }]) // => [{ name: 'engine-1', weight: 8 }]
 */
export const rankBackendServers = <Candidate extends PlacementCandidate>(chatKey: string, candidates: readonly Candidate[]): readonly Candidate[] => {
  const keyHash = hashText(chatKey)
  return candidates
    .map((candidate) => ({ candidate, score: scoreCandidate(keyHash, candidate) }))
    .sort((left, right) => right.score - left.score || compareNames(left.candidate, right.candidate))
    .map(({ candidate }) => candidate)
}

const compareNames = (left: PlacementCandidate, right: PlacementCandidate): number => left.name < right.name ? -1 : 1
