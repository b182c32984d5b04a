/**
 * Who takes on what one node does for many: reading, summing and passing on
 * would take a large part of a small VM's processor and link, and little of a
 * large one's.
 */
import type { Member } from '../../types/index.js'

/** A node that does not say what it has is taken for a whole core. */
const DEFAULT_MILLICORES = 1_000

/**
 * Compares two nodes for sorting, the one with more processor first.
 *
 * @param left - One node.
 * @param right - The other.
 * @returns A negative number when `left` has more, a positive one when `right` has, 0 when they are alike.
 *
 * @example
 * compareCapacity({ ...member, millicores: 1350 }, { ...member, millicores: 324 }) // => -1026
 */
export const compareCapacity = (left: Member, right: Member): number =>
  (right.millicores ?? DEFAULT_MILLICORES) - (left.millicores ?? DEFAULT_MILLICORES)
