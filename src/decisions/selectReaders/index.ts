/** Which nodes read the platform for the others, and whom the others ask. */
import { selectZoneReaders } from '../selectZoneReaders/index.js'
import type { Member } from '../../types/index.js'

export type Readers = {
  /** Those of the zone, who read the platform for it. */
  readonly own: readonly Member[]
  /** Whom a node of the zone asks by turns: its own readers, and one of the next zone. */
  readonly asked: readonly Member[]
}

/** Of a zone of few nodes: the next zone's reader is the second source. */
const READERS_OF_SMALL_ZONE = 1
/** Of a zone of many nodes, whose questions are too many for one VM, and of a zone that stands alone: two outlast the loss of one without a pause. */
const READERS_OF_OTHER_ZONE = 2
/** Nodes of a zone up to which one reader answers them all, some seven questions a second. */
const SMALL_ZONE_NODES = 8

/**
 * Selects the readers of one availability zone: one, or two where many nodes ask, so that
 * calls follow the zones and not the nodes. Their loss leaves the zone's nodes the reader of
 * the next zone, and a zone that is cut off has two of its own.
 *
 * @param availabilityZone - The zone.
 * @param members - All members that are known, the deciding node included.
 * @returns Its readers, and whom its other nodes ask.
 *
 * @example
 * selectReaders('venkov-a', []) // => { own: [], asked: [] }
 */
export const selectReaders = (availabilityZone: string, members: readonly Member[]): Readers => {
  const zones = [...new Set(members.filter(({ state }) => state === 'live').map((member) => member.availabilityZone))].sort()
  const others = zones.filter((zone) => zone !== availabilityZone)
  const nodes = members.filter((member) => member.availabilityZone === availabilityZone && member.state === 'live').length
  const isSmall = others.length > 0 && nodes <= SMALL_ZONE_NODES
  const own = selectZoneReaders(availabilityZone, members, isSmall ? READERS_OF_SMALL_ZONE : READERS_OF_OTHER_ZONE)
  const next = others.find((zone) => zone > availabilityZone) ?? others[0]
  return { own, asked: next === undefined ? own : [...own, ...selectZoneReaders(next, members, 1)] }
}
