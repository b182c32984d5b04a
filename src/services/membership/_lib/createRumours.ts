/**
 * Queue of the gossip updates for the next heartbeats. Each changed member is
 * sent for a limited number of rounds. Every few ticks a random member is added,
 * so that views that a lost message left inconsistent converge in the end.
 */
import type { Member } from '../../../types/index.js'

export type Rumours = {
  /** Adds a changed member to the queue. */
  readonly add: (nodeId: string) => void
  /** Returns the updates for the next tick; counts as one gossip round for each of them. */
  readonly take: (members: ReadonlyMap<string, Member>, nextRandom: () => number) => readonly Member[]
}

const MAXIMUM_RUMOURS = 16
const RECALL_EVERY_TICKS = 4
const EXTRA_ROUNDS = 1
/** Each round goes to several peers, so that the number of informed nodes doubles more than twice per round. */
const DOUBLINGS_PER_ROUND = 2

/** Gossip rounds until all members are informed, plus one for lost messages. */
const roundsFor = (memberCount: number): number => Math.ceil(Math.log2(memberCount + 1) / DOUBLINGS_PER_ROUND) + EXTRA_ROUNDS

export const createRumours = (): Rumours => {
  const roundsLeft = new Map<string, number>()
  let tick = 0

  const recall = (members: ReadonlyMap<string, Member>, nextRandom: () => number): readonly Member[] => {
    tick += 1
    if (tick % RECALL_EVERY_TICKS !== 0 || members.size === 0) return []
    const all = [...members.values()]
    return [all[Math.floor(nextRandom() * all.length)]!]
  }

  // An update that was sent moves to the end of the queue. When all members of a zone are lost,
  // each is announced soon and none waits until others have had all their rounds.
  const countRound = (nodeId: string, memberCount: number): void => {
    const rounds = Math.min(roundsLeft.get(nodeId) ?? 0, roundsFor(memberCount)) - 1
    roundsLeft.delete(nodeId)
    if (rounds > 0) roundsLeft.set(nodeId, rounds)
  }

  return {
    add: (nodeId) => {
      roundsLeft.delete(nodeId)
      roundsLeft.set(nodeId, Infinity)
    },
    take: (members, nextRandom) => {
      const told = [...roundsLeft.keys()].slice(0, MAXIMUM_RUMOURS)
      for (const nodeId of told) countRound(nodeId, members.size)
      const known = told.flatMap((nodeId) => members.get(nodeId) ?? [])
      return [...known, ...recall(members, nextRandom)]
    }
  }
}
