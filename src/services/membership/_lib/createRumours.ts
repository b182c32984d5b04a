/**
 * The news that goes out with the next heartbeats: each changed member for a
 * set number of ticks, and now and then any member, so that what a lost
 * message left wrong is put right in the end.
 */
import type { Member } from '../../../types/index.js'

export type Rumours = {
  /** Puts a member among the news. */
  readonly add: (nodeId: string) => void
  /** The news of the next tick; counts as one round of telling. */
  readonly take: (members: ReadonlyMap<string, Member>, nextRandom: () => number) => readonly Member[]
}

const MAXIMUM_RUMOURS = 16
const RECALL_EVERY_TICKS = 4
const EXTRA_ROUNDS = 1
/** Each round goes to several peers, so that one doubles the nodes that know more than twice. */
const DOUBLINGS_PER_ROUND = 2

/** Rounds of telling until n nodes know, and one for lost messages. */
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

  // What was told goes to the end of the line: when a whole zone is lost, each of
  // its members is told of soon, and none waits until others have had all rounds.
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
