/**
 * Selects the peers to which a router sends heartbeats. In a small fleet these are
 * all peers. In a large one they are a few fixed watchers, which detect missed
 * heartbeats, and a few random peers, which spread gossip updates.
 */
import { sortByRingHash } from './_lib/sortByRingHash.js'
import type { Member } from '../../types/index.js'

export type HeartbeatFanOut = {
  /** Up to this number of peers, each router sends heartbeats to all peers. */
  readonly fullMeshPeers: number
  /** Number of watchers in the router's own zone. */
  readonly zoneWatchers: number
  /** Number of watchers in other zones, which detect that an entire zone is not responding. */
  readonly remoteWatchers: number
  readonly randomZonePeers: number
  readonly randomRemotePeers: number
}

export type HeartbeatTargets = {
  /** Peers that get a heartbeat at each tick and detect missed heartbeats of this router. */
  readonly watchers: readonly Member[]
  /** Peers whose heartbeat this router expects at each tick. */
  readonly watched: readonly Member[]
  /** Peers selected at random for this tick only. */
  readonly randomPeers: readonly Member[]
}

/**
 * Selects the receivers of the next heartbeat.
 *
 * Watchers are a router's successors on a hash ring of the node names: first those
 * of its own zone, then those of other zones. Each router computes its watchers and
 * the peers that it watches from the same ring, so routers agree on who watches whom
 * as far as their views of the members agree.
 *
 * @param self - This router.
 * @param peers - The other routers that are not dead.
 * @param fanOut - The numbers of receivers.
 * @param nextRandom - Returns random numbers in [0, 1).
 * @returns The watchers, the watched peers, and the random peers.
 *
 * @example
 * selectHeartbeatTargets(self, [peer], fanOut, random.next).watchers // => [peer]
 */
export const selectHeartbeatTargets = (self: Member, peers: readonly Member[], fanOut: HeartbeatFanOut, nextRandom: () => number): HeartbeatTargets => {
  if (peers.length <= fanOut.fullMeshPeers) return { watchers: peers, watched: peers, randomPeers: [] }
  const ring = sortByRingHash([...peers, self])
  const isInSameZone = (one: Member, other: Member): boolean => one.availabilityZone === other.availabilityZone
  const isInOtherZone = (one: Member, other: Member): boolean => !isInSameZone(one, other)
  const zoneRing = ring.filter((member) => isInSameZone(member, self))
  const watchers = [
    ...findSuccessors(zoneRing, self, fanOut.zoneWatchers, isInSameZone),
    ...findSuccessors(ring, self, fanOut.remoteWatchers, isInOtherZone)
  ]
  const watched = [
    ...findSuccessors([...zoneRing].reverse(), self, fanOut.zoneWatchers, isInSameZone),
    ...findWatchedInOtherZones(ring, self, fanOut.remoteWatchers, isInOtherZone)
  ]
  const randomPeers = [
    ...sampleMembers(peers.filter((peer) => isInSameZone(peer, self)), fanOut.randomZonePeers, nextRandom),
    ...sampleMembers(peers.filter((peer) => isInOtherZone(peer, self)), fanOut.randomRemotePeers, nextRandom)
  ].filter((peer) => !watchers.includes(peer))
  return { watchers, watched, randomPeers }
}

type Relation = (one: Member, other: Member) => boolean

/** Walks the ring from a member onwards and collects the members that are related to it. */
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
 * Finds the members of other zones that have this router among their watchers. Going
 * backwards on the ring, these are the members with fewer than `count` members of
 * zones other than their own between them and this router.
 */
const findWatchedInOtherZones = (ring: readonly Member[], self: Member, count: number, isInOtherZone: Relation): readonly Member[] => {
  const start = ring.indexOf(self)
  const passedByZone = new Map<string, number>()
  const found: Member[] = []
  for (let passed = 0; passed < ring.length - 1; passed++) {
    if (passed - Math.max(0, ...passedByZone.values()) >= count) break
    const candidate = ring[(start - passed - 1 + ring.length) % ring.length]!
    const passedInZone = passedByZone.get(candidate.availabilityZone) ?? 0
    if (isInOtherZone(candidate, self) && passed - passedInZone < count) found.push(candidate)
    passedByZone.set(candidate.availabilityZone, passedInZone + 1)
  }
  return found
}

const sampleMembers = (members: readonly Member[], count: number, nextRandom: () => number): readonly Member[] => {
  const rest = [...members]
  const sample: Member[] = []
  while (sample.length < count && rest.length > 0) {
    const [member] = rest.splice(Math.floor(nextRandom() * rest.length), 1)
    sample.push(member!)
  }
  return sample
}
