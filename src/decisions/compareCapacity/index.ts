/**
 * Orders nodes by CPU capacity, to select those that do work for others:
 * reading the platform's store, aggregating and forwarding. This work would use
 * a large part of a small VM's CPU and network link, and little of a large one's.
 */
import type { Member } from '../../types/index.js'

/** A node that does not report its capacity counts as one full core. */
const DEFAULT_MILLICORES = 1_000

/**
 * Compares two nodes for sorting in descending order of CPU capacity.
 *
 * @param left - One node.
 * @param right - The other.
 * @returns A negative number when `left` has more capacity, a positive one when `right` has, 0 when they are equal.
 *
 * @example
 * compareCapacity({ ...member, millicores: 1350 }, { ...member, millicores: 324 }) // => -1026
 */
export const compareCapacity = (left: Member, right: Member): number =>
  (right.millicores ?? DEFAULT_MILLICORES) - (left.millicores ?? DEFAULT_MILLICORES)
