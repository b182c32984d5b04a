/** Which peers to ask for a generation, in which order. */
import type { Member, RandomSource } from '../../../types/index.js'

const ZONE_PEERS = 2
const OTHER_PEERS = 1

/**
 * Chooses a few peers that have at least a generation: some of the zone, then
 * one elsewhere; among equals at random, so that the load of a new generation
 * spreads over all who have it.
 */
export const choosePeers = (peers: readonly Member[], generation: number, self: { readonly nodeId: string, readonly availabilityZone: string }, random: RandomSource): readonly Member[] => {
  const holders = peers.filter((peer) => peer.nodeId !== self.nodeId && peer.state !== 'dead' && peer.generation >= generation)
  const inZone = holders.filter((peer) => peer.availabilityZone === self.availabilityZone)
  const elsewhere = holders.filter((peer) => peer.availabilityZone !== self.availabilityZone)
  return [...draw(inZone, ZONE_PEERS, random), ...draw(elsewhere, OTHER_PEERS, random)]
}

const draw = (members: readonly Member[], count: number, random: RandomSource): readonly Member[] => {
  const rest = [...members]
  const drawn: Member[] = []
  while (drawn.length < count && rest.length > 0) drawn.push(...rest.splice(Math.floor(random.next() * rest.length), 1))
  return drawn
}
