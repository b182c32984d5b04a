/**
 * Ranks the live routers of each zone for the aggregation of a server group's
 * load, routers on large VMs first. The highest-ranked router sums, the next
 * ones forward the totals. Ranks are computed once per change of the membership.
 */
import { compareCapacity } from '../../../decisions/compareCapacity/index.js'
import { rankMembers } from '../../../decisions/rankMembers/index.js'
import { groupBy } from '../../../kernel/groupBy/index.js'
import type { Member, Membership } from '../../../types/index.js'

export type ZoneRanking = {
  /** Routers of a zone, ranked for a group of servers. */
  readonly rank: (routerZone: string, group: string) => readonly Member[]
  /** Zones with live routers, in the order of their names. */
  readonly zones: () => readonly string[]
}

export const createZoneRanking = (membership: Pick<Membership, 'liveMembers' | 'onChange'>): ZoneRanking => {
  let byZone: ReadonlyMap<string, readonly Member[]> | undefined
  let ranks = new Map<string, readonly Member[]>()

  membership.onChange(() => { byZone = undefined })

  const readByZone = (): ReadonlyMap<string, readonly Member[]> => {
    if (byZone !== undefined) return byZone
    ranks = new Map()
    const grouped = groupBy(membership.liveMembers(), (member) => member.availabilityZone)
    byZone = grouped
    return grouped
  }

  return {
    zones: () => [...readByZone().keys()].sort(),
    rank: (routerZone, group) => {
      const routers = readByZone().get(routerZone) ?? []
      const key = `${routerZone} ${group}`
      const known = ranks.get(key)
      if (known !== undefined) return known
      // The sort is stable, so rendezvous hashing ranks routers on VMs of equal capacity.
      const ranked = [...rankMembers(`load of ${group}`, routers, routers.length)].sort(compareCapacity)
      ranks.set(key, ranked)
      return ranked
    }
  }
}
