/**
 * Places chats by rendezvous hashing with bounded loads and sticky placement.
 * Within the load bound, a returning chat goes to the server that caches its
 * prompt prefix. A new chat has no cached prefix, so it may only go to servers
 * near the mean load, which leaves room on the others for returning chats.
 */
import type { PlacementDemand } from '../../types/index.js'
import { computeFillShares } from '../computeFillShares/index.js'
import { computeLoadBounds, type LoadedCandidate } from '../computeLoadBounds/index.js'
import { hashText } from '../../hashing/index.js'
import { rankBackendServers } from '../rankBackendServers/index.js'

/** The part of a placement demand that selects a server within one service. */
export type ChatDemand = Omit<PlacementDemand, 'service'>

export type PlacementOptions = {
  /** Multiple of the weighted mean load up to which a returning chat is placed. */
  readonly loadTarget: number
  /** The same for a new chat; 1.1 by default, at most `loadTarget`. */
  readonly newChatLoadTarget?: number
  /** Multiple of the weighted mean load that is never exceeded; `loadTarget` by default. */
  readonly loadLimit?: number
  /** Number of highest-ranked servers among which a new chat takes the least loaded; 4 by default, 1 uses the ranking alone. */
  readonly newChatChoices?: number
}

const DEFAULT_NEW_CHAT_CHOICES = 4
/** Keeps the draw independent of the ranking, which hashes the same key. */
const DRAW_SEED = 0x5eed
const HASH_VALUES = 2 ** 32
const DEFAULT_NEW_CHAT_LOAD_TARGET = 1.1

/**
 * Chooses the backend server for one request.
 *
 * Only servers under their load target are considered. A chat goes to the
 * server of its placement hint; without one, a new chat goes to the least loaded
 * of its highest-ranked servers, and a returning chat to the highest-ranked. As far as the
 * loads have changed since they were counted, the chat's key draws one of these servers, so
 * that the nodes together fill up the least loaded ones. If
 * only excluded servers are under their target, the least loaded server under the
 * limit is taken, by load per weight.
 *
 * @param demand - The chat to place.
 * @param candidates - The servers that may get new requests, with their load.
 * @param options - Load targets and limit, and the number of choices for a new chat.
 * @returns The chosen candidate; `undefined` when no server is under the limit.
 *
 * @example
 * chooseBackendServer({ chatKey: 'chat-1', isNewChat: true, excluded: new Set() }, [{ name: 'engine-1', weight: 8, inFlight: 0 }], { loadTarget: 1.26 })
 * // => { name: 'engine-1', weight: 8, inFlight: 0 }
 */
export const chooseBackendServer = <Candidate extends LoadedCandidate>(
  demand: ChatDemand,
  candidates: readonly Candidate[],
  options: PlacementOptions
): Candidate | undefined => {
  const allowed = candidates.filter(({ name }) => !demand.excluded.has(name))
  const underTarget = selectUnderBound(allowed, candidates, selectLoadTarget(demand, options))
  if (underTarget.length === 0) return selectLeastLoaded(selectUnderBound(allowed, candidates, options.loadLimit ?? options.loadTarget))
  const hinted = underTarget.find(({ name }) => name === demand.hintedBackendServer)
  if (hinted !== undefined) return hinted
  const choices = demand.isNewChat ? options.newChatChoices ?? DEFAULT_NEW_CHAT_CHOICES : 1
  return drawLeastLoaded(demand.chatKey, rankBackendServers(demand.chatKey, underTarget).slice(0, choices))
}

/** Maps a key to a number in [0, 1). */
const hashToShare = (key: string): number => hashText(key, DRAW_SEED) / HASH_VALUES

const drawLeastLoaded = <Candidate extends LoadedCandidate>(chatKey: string, candidates: readonly Candidate[]): Candidate | undefined => {
  const uncounted = candidates.reduce((sum, { uncountedLoad = 0 }) => sum + uncountedLoad, 0)
  if (uncounted === 0) return selectLeastLoaded(candidates)
  const shares = computeFillShares(candidates.map(({ inFlight, uncountedLoad = 0, weight }) => ({ cost: (inFlight - uncountedLoad) / weight, costPerRequest: 1 / weight })), uncounted)
  let rest = hashToShare(chatKey)
  return candidates.find((_, index) => (rest -= shares[index]!) < 0) ?? candidates.at(-1)
}

const selectLoadTarget = ({ isNewChat }: ChatDemand, { loadTarget, newChatLoadTarget = DEFAULT_NEW_CHAT_LOAD_TARGET }: PlacementOptions): number =>
  isNewChat ? Math.min(newChatLoadTarget, loadTarget) : loadTarget

const selectUnderBound = <Candidate extends LoadedCandidate>(allowed: readonly Candidate[], all: readonly Candidate[], multiple: number): readonly Candidate[] => {
  const bounds = computeLoadBounds(all, multiple)
  return allowed.filter((candidate) => candidate.inFlight < (bounds.get(candidate.name) ?? 0))
}

const computeLoadPerWeight = (candidate: LoadedCandidate): number => candidate.inFlight / candidate.weight

const selectLeastLoaded = <Candidate extends LoadedCandidate>(candidates: readonly Candidate[]): Candidate | undefined =>
  candidates.reduce<Candidate | undefined>((least, candidate) => least === undefined || computeLoadPerWeight(candidate) < computeLoadPerWeight(least) ? candidate : least, undefined)
