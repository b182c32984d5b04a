/** Orders members on the hash ring that determines who watches whom. */
import { hashText } from '../../../hashing/index.js'
import type { Member } from '../../../types/index.js'

type RingEntry = { readonly member: Member, readonly hash: number }

const compare = (one: RingEntry, other: RingEntry): number =>
  one.hash - other.hash || (one.member.nodeId < other.member.nodeId ? -1 : 1)

export const sortByRingHash = (members: readonly Member[]): readonly Member[] =>
  members.map((member) => ({ member, hash: hashText(member.nodeId) })).sort(compare).map(({ member }) => member)
