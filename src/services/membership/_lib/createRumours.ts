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
const EXTRA_ROUNDS = 3

/** News needs about log2(n) rounds to reach n nodes; a few more make up for lost messages. */
const roundsFor = (memberCount: number): number => Math.ceil(Math.log2(memberCount + 1)) + EXTRA_ROUNDS

export const createRumours = (): Rumours => {
  const roundsLeft = new Map<string, number>()
  let tick = 0

  const recall = (members: ReadonlyMap<string, Member>, nextRandom: () => number): readonly Member[] => {
    tick += 1
    if (tick % RECALL_EVERY_TICKS !== 0 || members.size === 0) return []
    const all = [...members.values()]
    return [all[Math.floor(nextRandom() * all.length)]!]
  }

  return {
    add: (nodeId) => {
      // Deleted first so that the newest stand last and the oldest news goes out first.
      roundsLeft.delete(nodeId)
      roundsLeft.set(nodeId, Infinity)
    },
    take: (members, nextRandom) => {
      const told: Member[] = []
      for (const [nodeId, left] of roundsLeft) {
        if (told.length === MAXIMUM_RUMOURS) break
        const rounds = Math.min(left, roundsFor(members.size)) - 1
        if (rounds <= 0) roundsLeft.delete(nodeId)
        else roundsLeft.set(nodeId, rounds)
        const member = members.get(nodeId)
        if (member !== undefined) told.push(member)
      }
      return [...told, ...recall(members, nextRandom)]
    }
  }
}
