/** Selects the peers from which to fetch a generation, and their order. */
import type { Member, RandomSource } from '../../../types/index.js'

const ZONE_PEERS = 2
const OTHER_PEERS = 1

/**
 * Selects a few peers that have at least the given generation: first some in the
 * same zone, then one in another zone. The selection is random, so that the
 * fetches of a new generation are spread over all peers that have it.
 */
export const selectPeers = (peers: readonly Member[], generation: number, self: { readonly nodeId: string, readonly availabilityZone: string }, random: RandomSource): readonly Member[] => {
  const holders = peers.filter((peer) => peer.nodeId !== self.nodeId && peer.state !== 'dead' && peer.generation >= generation)
  const inZone = holders.filter((peer) => peer.availabilityZone === self.availabilityZone)
  const elsewhere = holders.filter((peer) => peer.availabilityZone !== self.availabilityZone)
  return [...selectRandom(inZone, ZONE_PEERS, random), ...selectRandom(elsewhere, OTHER_PEERS, random)]
}

const selectRandom = (members: readonly Member[], count: number, random: RandomSource): readonly Member[] => {
  const rest = [...members]
  const selected: Member[] = []
  while (selected.length < count && rest.length > 0) selected.push(...rest.splice(Math.floor(random.next() * rest.length), 1))
  return selected
}
