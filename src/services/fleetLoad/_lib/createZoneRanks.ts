/**
 * Who sums and who forwards the load of a group of backend servers: the live
 * routers of each zone, those on large VMs first, ranked once per change of the
 * membership.
 */
import { compareCapacity } from '../../../decisions/compareCapacity/index.js'
import { rankMembers } from '../../../decisions/rankMembers/index.js'
import { groupBy } from '../../../kernel/groupBy/index.js'
import type { Member, Membership } from '../../../types/index.js'

export type ZoneRanks = {
  /** The routers of a zone in the order of their responsibility for a group of servers. */
  readonly rank: (routerZone: string, group: string) => readonly Member[]
  readonly zones: () => readonly string[]
}

export const createZoneRanks = (membership: Pick<Membership, 'liveMembers' | 'onChange'>): ZoneRanks => {
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
    zones: () => [...readByZone().keys()],
    rank: (routerZone, group) => {
      const routers = readByZone().get(routerZone) ?? []
      const key = `${routerZone} ${group}`
      const known = ranks.get(key)
      if (known !== undefined) return known
      // Sorting is stable: among VMs alike the rank decides. The first sums, the next pass the totals on.
      const ranked = [...rankMembers(`load of ${group}`, routers, routers.length)].sort(compareCapacity)
      ranks.set(key, ranked)
      return ranked
    }
  }
}
