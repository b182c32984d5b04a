/** Whether a node is one of those of its zone that hold a watch at the platform. */
import { selectZoneReaders } from '../selectZoneReaders/index.js'
import type { Member } from '../../types/index.js'

/**
 * Decides whether a node is one of its zone's watchers.
 *
 * A waiting watch counts as a call at the platform, whose rates grow more
 * slowly than the fleet; a few watchers a zone tell the rest by heartbeat.
 * The first nodes by id watch. While nodes disagree about who is live there
 * are a few watchers more or fewer, which costs calls or seconds, nothing else.
 *
 * @param self - Id and zone of the deciding node.
 * @param peers - The other members it knows.
 * @param watchersPerZone - How many nodes of a zone should watch.
 * @returns Whether the node should watch.
 *
 * @example
 * isZoneWatcher({ nodeId: 'router-1', availabilityZone: 'venkov-a' }, [], 2) // => true
 */
export const isZoneWatcher = (self: Pick<Member, 'nodeId' | 'availabilityZone'>, peers: readonly Member[], watchersPerZone: number): boolean => {
  const before = peers.filter(({ nodeId }) => nodeId < self.nodeId)
  return selectZoneReaders(self.availabilityZone, before, watchersPerZone).length < watchersPerZone
}
