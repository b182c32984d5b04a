/**
 * Bounded-load placement with a memory of where a chat went. The load bound
 * rules; within it a returning chat goes back to the server that holds its
 * prefix. A new chat has no prefix to lose, so it is kept to servers near the
 * mean: what it leaves free there is room for chats that return.
 */
import type { PlacementDemand } from '../../types/index.js'
import { computeLoadBounds, type LoadedCandidate } from '../computeLoadBounds/index.js'
import { rankBackendServers } from '../rankBackendServers/index.js'

/** The part of a demand that decides within one service. */
export type ChatDemand = Omit<PlacementDemand, 'service'>

export type PlacementOptions = {
  /** Multiple of the weighted mean load up to which a returning chat is placed. */
  readonly loadTarget: number
  /** The same for a new chat; 1.1 by default, and never more than `loadTarget`. */
  readonly newChatLoadTarget?: number
  /** Multiple of the weighted mean load that must hold; the same as `loadTarget` by default. */
  readonly loadLimit?: number
  /** How many first ranks a new chat chooses among; 4 by default, 1 takes the ranking as it is. */
  readonly newChatChoices?: number
}

const DEFAULT_NEW_CHAT_CHOICES = 4
const DEFAULT_NEW_CHAT_LOAD_TARGET = 1.1

/**
 * Chooses the backend server for one request.
 *
 * The choice is, in this order: the remembered server; for a new chat the
 * least loaded of its first ranks; the first rank. Each counts only while it
 * is under its load bound, else the ranking is walked on. Should every
 * candidate be over its bound, which late counts alone can make it seem, the
 * one with the least load for its weight is taken.
 *
 * @param demand - The chat to place.
 * @param candidates - The servers that may get new work, with their load.
 * @param options - Load targets and limit, and the choices for a new chat.
 * @returns The chosen candidate; `undefined` when there is none under the limit.
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
  const underTarget = selectUnderBound(allowed, candidates, findTarget(demand, options))
  if (underTarget.length === 0) return findLeastLoaded(selectUnderBound(allowed, candidates, options.loadLimit ?? options.loadTarget))
  const remembered = underTarget.find(({ name }) => name === demand.hintedBackendServer)
  if (remembered !== undefined) return remembered
  const choices = demand.isNewChat ? options.newChatChoices ?? DEFAULT_NEW_CHAT_CHOICES : 1
  return findLeastLoaded(rankBackendServers(demand.chatKey, underTarget).slice(0, choices))
}

const findTarget = ({ isNewChat }: ChatDemand, { loadTarget, newChatLoadTarget = DEFAULT_NEW_CHAT_LOAD_TARGET }: PlacementOptions): number =>
  isNewChat ? Math.min(newChatLoadTarget, loadTarget) : loadTarget

const selectUnderBound = <Candidate extends LoadedCandidate>(allowed: readonly Candidate[], all: readonly Candidate[], multiple: number): readonly Candidate[] => {
  const bounds = computeLoadBounds(all, multiple)
  return allowed.filter((candidate) => candidate.inFlight < (bounds.get(candidate.name) ?? 0))
}

const loadPerWeight = (candidate: LoadedCandidate): number => candidate.inFlight / candidate.weight

const findLeastLoaded = <Candidate extends LoadedCandidate>(candidates: readonly Candidate[]): Candidate | undefined =>
  candidates.reduce<Candidate | undefined>((least, candidate) => least === undefined || loadPerWeight(candidate) < loadPerWeight(least) ? candidate : least, undefined)
