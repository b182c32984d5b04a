/**
 * Ranks routers by rendezvous hashing, to find the router that is responsible for
 * a key and the next ones in rank. All routers with the same view agree without communication.
 */
import { hashText } from '../../hashing/index.js'
import type { Member } from '../../types/index.js'

/** Caches the hash of a member's name for the lifetime of its record: hashing 360 names per key would dominate the cost of ranking. */
const memberHashes = new WeakMap<Member, number>()

const hashMember = (member: Member): number => {
  const known = memberHashes.get(member)
  if (known !== undefined) return known
  const hash = hashText(member.nodeId)
  memberHashes.set(member, hash)
  return hash
}

/** The finalizer of MurmurHash3: each input bit affects about half of the output bits. */
const mix = (value: number): number => {
  const first = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  const second = Math.imul(first ^ (first >>> 13), 0xc2b2ae35)
  return (second ^ (second >>> 16)) >>> 0
}

type Ranked = { readonly member: Member, readonly score: number }

/** Compares scores; names break ties. */
const isBefore = (one: Ranked, other: Ranked): boolean =>
  one.score !== other.score ? one.score > other.score : one.member.nodeId < other.member.nodeId

/**
 * Finds the highest-ranked routers for a key.
 *
 * @param key - The key to find responsible routers for.
 * @param members - The routers to choose from, in any order.
 * @param count - Maximum number of routers; 1 by default.
 * @returns At most `count` members, highest rank first.
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
