/** Orders members on the hash ring that determines who watches whom. */
import { hashText } from '../../../hashing/index.js'
import type { Member } from '../../../types/index.js'

type Placed = { readonly member: Member, readonly hash: number }

const compare = (one: Placed, other: Placed): number =>
  one.hash - other.hash || (one.member.nodeId < other.member.nodeId ? -1 : 1)

export const orderAsRing = (members: readonly Member[]): readonly Member[] =>
  members.map((member) => ({ member, hash: hashText(member.nodeId) })).sort(compare).map(({ member }) => member)
