/** Decides whether a node is one of the watchers of its zone, which hold a watch on the platform's store. */
import { selectZoneReaders } from '../selectZoneReaders/index.js'
import type { Member } from '../../types/index.js'

/**
 * Decides whether a node is one of its zone's watchers.
 *
 * A pending watch counts as a call to the platform, whose rate limits grow more
 * slowly than the fleet. A few watchers per zone therefore notify the other nodes
 * by heartbeat. The nodes with the lowest ids watch. While nodes disagree about
 * which of them are live, there may be a few watchers more or fewer, which only
 * costs additional calls or a delay of seconds.
 *
 * @param self - Id and zone of this node.
 * @param peers - The other members in its view.
 * @param watchersPerZone - Number of nodes of a zone that should watch.
 * @returns Whether the node should watch.
 *
 * @example
 * isZoneWatcher({ nodeId: 'router-1', availabilityZone: 'venkov-a' }, [], 2) // => true
 */
export const isZoneWatcher = (self: Pick<Member, 'nodeId' | 'availabilityZone'>, peers: readonly Member[], watchersPerZone: number): boolean => {
  const before = peers.filter(({ nodeId }) => nodeId < self.nodeId)
  return selectZoneReaders(self.availabilityZone, before, watchersPerZone).length < watchersPerZone
}
