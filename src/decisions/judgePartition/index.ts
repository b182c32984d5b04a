/**
 * Concludes from servers that do not respond that a whole availability zone, or this node
 * itself, is cut off. Otherwise a request would have to time out at each server. A server
 * may be silent for a second and go on, so that shorter silences prove nothing.
 */

export type UnreachableServer = {
  readonly availabilityZone: string
  /** Monotonic milliseconds since which the server has not responded to this node. */
  readonly since: number
}

export type Partition = {
  /** Zones whose servers count as unreachable. */
  readonly zones: ReadonlySet<string>
  /** Whether this node counts as cut off from all backend servers. */
  readonly isCutOff: boolean
}

/** Silence in milliseconds after which a server counts as unreachable here: longer than a sound server is silent, shorter than callers wait. */
export const PARTITION_AFTER_MS = 1_300
/** Number of unreachable servers at which a whole zone counts as unreachable: a single one may just be down. */
const MINIMUM_SERVERS_PER_ZONE = 2
/** Number of zones with an unreachable server at which this node counts as cut off, while nothing arrives from any server. */
const MINIMUM_ZONES = 2

const countByZone = (servers: readonly UnreachableServer[]): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>()
  for (const { availabilityZone } of servers) counts.set(availabilityZone, (counts.get(availabilityZone) ?? 0) + 1)
  return counts
}

/**
 * Concludes which zones are unreachable and whether this node is cut off.
 *
 * @param servers - Servers that do not respond; a server is left out as soon as anything arrives from its zone.
 * @param heardAt - Monotonic milliseconds at which anything last arrived from any server.
 * @param now - Monotonic milliseconds.
 * @returns The zones that are cut off, and whether this node is.
 *
 * @example
 * judgePartition([], 0, 10_000) // => { zones: new Set(), isCutOff: false }
 */
export const judgePartition = (servers: readonly UnreachableServer[], heardAt: number, now: number): Partition => {
  const counts = countByZone(servers.filter(({ since }) => now - since >= PARTITION_AFTER_MS))
  const zones = [...counts].filter(([, count]) => count >= MINIMUM_SERVERS_PER_ZONE).map(([zone]) => zone)
  return { zones: new Set(zones), isCutOff: counts.size >= MINIMUM_ZONES && now - heardAt >= PARTITION_AFTER_MS }
}
