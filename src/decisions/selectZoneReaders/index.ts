/** Which nodes of a zone read the platform for the others. */
import { compareCapacity } from '../compareCapacity/index.js'
import type { Member } from '../../types/index.js'

/**
 * Selects the readers of one availability zone: its live nodes on the largest
 * VMs, the first by id among equals, so that all nodes agree without a word.
 * While they disagree about who is live there are a few readers more or fewer,
 * which costs calls or seconds.
 *
 * @param availabilityZone - The zone.
 * @param members - All members that are known, the deciding node included.
 * @param readersPerZone - How many are wanted; two outlast the loss of one without a pause.
 * @returns The readers, the first choice first.
 *
 * @example
 * selectZoneReaders('venkov-a', [], 2) // => []
 */
export const selectZoneReaders = (availabilityZone: string, members: readonly Member[], readersPerZone: number): readonly Member[] =>
  members
    .filter((member) => member.state === 'live' && member.availabilityZone === availabilityZone)
    .sort((left, right) => compareCapacity(left, right) || (left.nodeId < right.nodeId ? -1 : 1))
    .slice(0, readersPerZone)
