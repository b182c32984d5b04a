/** The order of members on the ring from which watchers are found. */
import { hashText } from '../../../hashing/hashText/index.js'
import type { Member } from '../../../types/index.js'

export const compareByRing = (one: Member, other: Member): number => {
  const difference = hashText(one.nodeId) - hashText(other.nodeId)
  if (difference !== 0) return difference
  return one.nodeId < other.nodeId ? -1 : 1
}
