/**
 * Whom a router sends heartbeats to. In a small fleet that is everybody. In a
 * large one it is a few fixed watchers, who notice its silence, and a few
 * others picked at random, who carry news on.
 */
import { orderAsRing } from './_lib/orderAsRing.js'
import type { Member } from '../../types/index.js'

export type HeartbeatFanOut = {
  /** Up to so many peers each router sends to all of them. */
  readonly fullMeshPeers: number
  /** Watchers within the own zone. */
  readonly zoneWatchers: number
  /** Watchers in other zones, who notice that a whole zone fell silent. */
  readonly remoteWatchers: number
  readonly randomZonePeers: number
  readonly randomRemotePeers: number
}

export type HeartbeatTargets = {
  /** Peers that get a heartbeat at each tick; they notice when it stays away. */
  readonly watchers: readonly Member[]
  /** Peers whose heartbeat this router must get at each tick. */
  readonly watched: readonly Member[]
  /** Peers picked for this tick only. */
  readonly picked: readonly Member[]
}

/**
 * Selects the receivers of the next heartbeat.
 *
 * Watchers are the next members on a ring ordered by the hash of the node's
 * name: first those of the own zone, then the next of other zones. Each router
 * finds its own watchers and those that it watches from the same ring, so all
 * agree as far as their views of the members do.
 *
 * @param self - This router.
 * @param peers - The other routers that are not dead.
 * @param fanOut - The numbers of receivers.
 * @param nextRandom - Random numbers in [0, 1).
 * @returns The watchers, the watched, and the peers picked at random.
 *
 * @example
 * selectHeartbeatTargets(self, [peer], fanOut, random.next).watchers // => [peer]
 */
export const selectHeartbeatTargets = (self: Member, peers: readonly Member[], fanOut: HeartbeatFanOut, nextRandom: () => number): HeartbeatTargets => {
  if (peers.length <= fanOut.fullMeshPeers) return { watchers: peers, watched: peers, picked: [] }
  const ring = orderAsRing([...peers, self])
  const isNear = (one: Member, other: Member): boolean => one.availabilityZone === other.availabilityZone
  const isFar = (one: Member, other: Member): boolean => !isNear(one, other)
  const zoneRing = ring.filter((member) => isNear(member, self))
  const watchers = [
    ...findSuccessors(zoneRing, self, fanOut.zoneWatchers, isNear),
    ...findSuccessors(ring, self, fanOut.remoteWatchers, isFar)
  ]
  const watched = [
    ...findSuccessors([...zoneRing].reverse(), self, fanOut.zoneWatchers, isNear),
    ...findWatchedFar(ring, self, fanOut.remoteWatchers, isFar)
  ]
  const picked = [
    ...pick(peers.filter((peer) => isNear(peer, self)), fanOut.randomZonePeers, nextRandom),
    ...pick(peers.filter((peer) => isFar(peer, self)), fanOut.randomRemotePeers, nextRandom)
  ].filter((peer) => !watchers.includes(peer))
  return { watchers, watched, picked }
}

type Relation = (one: Member, other: Member) => boolean

/** Walks the ring from a member onwards, taking those that stand in the relation to it. */
const findSuccessors = (ring: readonly Member[], member: Member, count: number, isRelated: Relation): readonly Member[] => {
  const start = ring.indexOf(member)
  const found: Member[] = []
  for (let step = 1; step < ring.length && found.length < count; step++) {
    const candidate = ring[(start + step) % ring.length]!
    if (isRelated(candidate, member)) found.push(candidate)
  }
  return found
}

/**
 * The members of other zones that have this router among their watchers. Going
 * back on the ring, a member reaches this router as long as fewer than `count`
 * members of zones other than its own stand between them.
 */
const findWatchedFar = (ring: readonly Member[], self: Member, count: number, isFar: Relation): readonly Member[] => {
  const start = ring.indexOf(self)
  const passedByZone = new Map<string, number>()
  const found: Member[] = []
  for (let passed = 0; passed < ring.length - 1; passed++) {
    if (passed - Math.max(0, ...passedByZone.values()) >= count) break
    const candidate = ring[(start - passed - 1 + ring.length) % ring.length]!
    const passedInZone = passedByZone.get(candidate.availabilityZone) ?? 0
    if (isFar(candidate, self) && passed - passedInZone < count) found.push(candidate)
    passedByZone.set(candidate.availabilityZone, passedInZone + 1)
  }
  return found
}

const pick = (members: readonly Member[], count: number, nextRandom: () => number): readonly Member[] => {
  const rest = [...members]
  const picked: Member[] = []
  while (picked.length < count && rest.length > 0) {
    const [member] = rest.splice(Math.floor(nextRandom() * rest.length), 1)
    picked.push(member!)
  }
  return picked
}
