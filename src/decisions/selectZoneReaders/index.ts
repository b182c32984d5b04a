/** Selects the nodes of a zone that read the platform on behalf of the others. */
import { compareCapacity } from '../compareCapacity/index.js'
import type { Member } from '../../types/index.js'

/**
 * Selects the readers of one availability zone: its live nodes on the largest
 * VMs, ties broken by id, so that all nodes agree without communication. While
 * their views of the live nodes differ there are a few readers too many or too
 * few, which costs additional calls or a delay of seconds.
 *
 * @param availabilityZone - The zone.
 * @param members - All known members, including the deciding node.
 * @param readersPerZone - Number of readers; with two, the loss of one causes no gap.
 * @returns The readers, the preferred one first.
 *
 * @example
 * selectZoneReaders('venkov-a', [], 2) // => []
 */
export const selectZoneReaders = (availabilityZone: string, members: readonly Member[], readersPerZone: number): readonly Member[] =>
  members
    .filter((member) => member.state === 'live' && member.availabilityZone === availabilityZone)
    .sort((left, right) => compareCapacity(left, right) || (left.nodeId < right.nodeId ? -1 : 1))
    .slice(0, readersPerZone)
