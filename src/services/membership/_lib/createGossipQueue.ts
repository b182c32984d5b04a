/**
 * Queue of the gossip updates for the next heartbeats. Each changed member is
 * sent for a limited number of rounds. Every few ticks a random member is added,
 * so that views that a lost message left inconsistent converge in the end.
 */
import type { Member } from '../../../types/index.js'

export type GossipQueue = {
  /** Adds a changed member to the queue. */
  readonly add: (nodeId: string) => void
  /** Returns the updates for the next tick; counts as one gossip round for each of them. */
  readonly take: (members: ReadonlyMap<string, Member>, nextRandom: () => number) => readonly Member[]
}

const MAXIMUM_UPDATES_PER_TICK = 16
const RANDOM_MEMBER_EVERY_TICKS = 4
const EXTRA_ROUNDS = 1
/** Each round goes to several peers, so that the number of informed nodes doubles more than twice per round. */
const DOUBLINGS_PER_ROUND = 2

/** Gossip rounds until all members are informed, plus one for lost messages. */
const computeRounds = (memberCount: number): number => Math.ceil(Math.log2(memberCount + 1) / DOUBLINGS_PER_ROUND) + EXTRA_ROUNDS

export const createGossipQueue = (): GossipQueue => {
  const roundsLeft = new Map<string, number>()
  let tick = 0

  const selectRandomMember = (members: ReadonlyMap<string, Member>, nextRandom: () => number): readonly Member[] => {
    tick += 1
    if (tick % RANDOM_MEMBER_EVERY_TICKS !== 0 || members.size === 0) return []
    const all = [...members.values()]
    return [all[Math.floor(nextRandom() * all.length)]!]
  }

  // An update that was sent moves to the end of the queue. When all members of a zone are lost,
  // each is announced soon and none waits until others have had all their rounds.
  const countRound = (nodeId: string, memberCount: number): void => {
    const rounds = Math.min(roundsLeft.get(nodeId) ?? 0, computeRounds(memberCount)) - 1
    roundsLeft.delete(nodeId)
    if (rounds > 0) roundsLeft.set(nodeId, rounds)
  }

  return {
    add: (nodeId) => {
      roundsLeft.delete(nodeId)
      roundsLeft.set(nodeId, Infinity)
    },
    take: (members, nextRandom) => {
      const sent = [...roundsLeft.keys()].slice(0, MAXIMUM_UPDATES_PER_TICK)
      for (const nodeId of sent) countRound(nodeId, members.size)
      const known = sent.flatMap((nodeId) => members.get(nodeId) ?? [])
      return [...known, ...selectRandomMember(members, nextRandom)]
    }
  }
}
