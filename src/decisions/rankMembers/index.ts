/**
 * Rendezvous hashing over routers: which of them is responsible for a key,
 * and who comes after it. All routers with the same view agree without asking.
 */
import { hashText } from '../../hashing/index.js'
import type { Member } from '../../types/index.js'

/** A member is hashed once for as long as its record lives; hashing 360 names for each key would cost more than all else here. */
const memberHashes = new WeakMap<Member, number>()

const hashMember = (member: Member): number => {
  const known = memberHashes.get(member)
  if (known !== undefined) return known
  const hash = hashText(member.nodeId)
  memberHashes.set(member, hash)
  return hash
}

/** The finalizer of MurmurHash3: every bit of the input changes about half of the output. */
const mix = (value: number): number => {
  const first = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  const second = Math.imul(first ^ (first >>> 13), 0xc2b2ae35)
  return (second ^ (second >>> 16)) >>> 0
}

type Ranked = { readonly member: Member, readonly score: number }

/** Scores are compared first, names only to break a tie. */
const isBefore = (one: Ranked, other: Ranked): boolean =>
  one.score !== other.score ? one.score > other.score : one.member.nodeId < other.member.nodeId

/**
 * Finds the routers that come first for a key.
 *
 * @param key - What somebody has to be responsible for.
 * @param members - The routers to choose from, in any order.
 * @param count - How many to find; 1 by default.
 * @returns At most `count` members, the first choice first.
 *
 * @example
 * rankMembers('engine-1', members, 2) // => the two routers that probe engine-1
 */
export const rankMembers = (key: string, members: readonly Member[], count = 1): readonly Member[] => {
  const keyHash = hashText(key)
  const best: Ranked[] = []
  for (const member of members) {
    const ranked = { member, score: mix(hashMember(member) ^ keyHash) }
    const place = best.findIndex((other) => isBefore(ranked, other))
    best.splice(place === -1 ? best.length : place, 0, ranked)
    if (best.length > count) best.pop()
  }
  return best.map(({ member }) => member)
}
