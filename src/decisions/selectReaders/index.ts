/** Which nodes read the platform for the others, and whom the others ask. */
import { selectZoneReaders } from '../selectZoneReaders/index.js'
import type { Member } from '../../types/index.js'

export type Readers = {
  /** Those of the zone, who read the platform for it. */
  readonly own: readonly Member[]
  /** Whom a node of the zone asks by turns: its own readers, and one of the next zone. */
  readonly asked: readonly Member[]
}

/** With other zones in reach, the reader of one of them is the second source. */
const READERS_AMONG_ZONES = 1
/** Of a zone that stands alone; two outlast the loss of one without a pause. */
const READERS_ALONE = 2

/**
 * Selects the readers of one availability zone. One reads for each zone, so that calls
 * follow the zones and not the nodes; its loss leaves the zone's nodes the reader of
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
  const own = selectZoneReaders(availabilityZone, members, others.length > 0 ? READERS_AMONG_ZONES : READERS_ALONE)
  const next = others.find((zone) => zone > availabilityZone) ?? others[0]
  return { own, asked: next === undefined ? own : [...own, ...selectZoneReaders(next, members, READERS_AMONG_ZONES)] }
}
