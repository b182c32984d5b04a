/**
 * Selects the nodes that keep what the fleet knows under a key: at which software version a
 * stream began, or which backend servers ended under a prompt part. They lie in several
 * availability zones, as a node may be gone, or cut off with its zone.
 */
import { rankMembers } from '../rankMembers/index.js'
import type { Member } from '../../types/index.js'

export type HolderOptions = {
  /** Number of nodes that keep the record, at least. */
  readonly holders?: number
}

const DEFAULT_HOLDERS = 3

const groupByZone = (members: readonly Member[]): ReadonlyMap<string, readonly Member[]> => {
  const zones = new Map<string, Member[]>()
  for (const member of members) zones.set(member.availabilityZone, [...zones.get(member.availabilityZone) ?? [], member])
  return zones
}

/**
 * Selects the holders of one record.
 *
 * @param key - Identifies the record, for example the id of the request in which a stream began.
 * @param members - The nodes to choose from, in any order.
 * @param options - Number of holders; 3 by default.
 * @returns The holders; as many in each zone as are needed for the total.
 *
 * @example
 * selectHolders('r1', members) // => one node in each of three zones
 */
export const selectHolders = (key: string, members: readonly Member[], { holders = DEFAULT_HOLDERS }: HolderOptions = {}): readonly Member[] => {
  const zones = groupByZone(members)
  const perZone = Math.ceil(holders / Math.max(1, zones.size))
  const candidates = [...zones.values()].map((inZone) => rankMembers(key, inZone, perZone))
  // Of more zones than holders, those whose first candidates rank highest.
  const first = rankMembers(key, candidates.map(([member]) => member!), holders)
  return candidates.filter(([member]) => first.includes(member!)).flat()
}
