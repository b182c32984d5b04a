/** Selects the nodes that read the platform for others, and the nodes that the others query. */
import { selectZoneReaders } from '../selectZoneReaders/index.js'
import type { Member } from '../../types/index.js'

export type PlatformReaders = {
  /** Readers of the zone, which read the platform on its behalf. */
  readonly own: readonly Member[]
  /** Nodes that the zone's other nodes query in turn: its own readers, and a reader of the next zone. */
  readonly queried: readonly Member[]
}

/** While other zones are reachable, the reader of one of them is the second source. */
const READERS_PER_CONNECTED_ZONE = 1
/** For a zone that reaches no other zone: with two readers, the loss of one causes no gap. */
const READERS_PER_ISOLATED_ZONE = 2

/**
 * Selects the readers of one availability zone. Each zone has one reader, so that the
 * number of platform calls grows with the zones and not with the nodes. When it is lost,
 * the zone's nodes use the reader of the next zone; an isolated zone has two readers.
 *
 * @param availabilityZone - The zone.
 * @param members - All known members, including the deciding node.
 * @returns The zone's readers, and the nodes that its other nodes query.
 *
 * @example
 * selectPlatformReaders('venkov-a', []) // => { own: [], queried: [] }
 */
export const selectPlatformReaders = (availabilityZone: string, members: readonly Member[]): PlatformReaders => {
  const zones = [...new Set(members.filter(({ state }) => state === 'live').map((member) => member.availabilityZone))].sort()
  const others = zones.filter((zone) => zone !== availabilityZone)
  const own = selectZoneReaders(availabilityZone, members, others.length > 0 ? READERS_PER_CONNECTED_ZONE : READERS_PER_ISOLATED_ZONE)
  const next = others.find((zone) => zone > availabilityZone) ?? others[0]
  return { own, queried: next === undefined ? own : [...own, ...selectZoneReaders(next, members, READERS_PER_CONNECTED_ZONE)] }
}
