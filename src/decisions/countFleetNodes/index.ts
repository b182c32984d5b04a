/**
 * Counts the nodes among which a bound of the whole fleet is divided. A node that
 * started while its zone was cut off knows no members of other zones, so that each
 * zone is assumed to have as many nodes as its own.
 */
import type { Member } from '../../types/index.js'

export type FleetView = {
  /** All members that the node ever knew, dead ones included: they may only be out of reach. */
  readonly members: readonly Pick<Member, 'nodeId' | 'availabilityZone'>[]
  readonly availabilityZone: string
  /** Availability zones of the deployment; 1 where they are not configured. */
  readonly zones: number
  /** Whether the fleet has other nodes. */
  readonly hasPeers: boolean
}

/**
 * Counts the nodes.
 *
 * @param view - What this node knows of the fleet.
 * @returns The number of nodes that may be running, never fewer than the node knows; `undefined` when it should know peers and knows none.
 *
 * @example
 * countFleetNodes({ members: [{ nodeId: 'a-1', availabilityZone: 'a' }, { nodeId: 'a-2', availabilityZone: 'a' }], availabilityZone: 'a', zones: 3, hasPeers: true }) // => 6
 */
export const countFleetNodes = ({ members, availabilityZone, zones, hasPeers }: FleetView): number | undefined => {
  if (hasPeers && members.length <= 1) return undefined
  const inOwnZone = members.filter((member) => member.availabilityZone === availabilityZone).length
  return Math.max(members.length, zones * inOwnZone)
}
