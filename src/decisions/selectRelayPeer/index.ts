/**
 * Selects the peer through which a request reaches a backend server. Load pattern: most
 * nodes of a zone lose their path to all backend servers at once, and the few peers that
 * are left get the requests of all of them.
 */

export type RelayCandidate = {
  readonly nodeId: string
  readonly availabilityZone: string
  /** What the peer reported about its own reach. */
  readonly reach: 'some' | 'none' | 'unknown'
  /** Requests of this node that are open at the peer. */
  readonly open: number
  /** Whether the peer was not reached or refused a request a short time ago. */
  readonly isAvoided: boolean
}

/** Open requests at the less loaded of two peers of the own zone from which on peers of other zones take a part. */
const SPREAD_FROM_OPEN = 6

const REACH_ORDER: readonly RelayCandidate['reach'][] = ['some', 'unknown']

/** The less loaded of two random ones (power of two choices): all nodes that are cut off select at once, without knowing of each other. */
const drawPeer = (candidates: readonly RelayCandidate[], random: () => number): RelayCandidate | undefined => {
  const draw = (): RelayCandidate | undefined => candidates[Math.floor(random() * candidates.length)]
  const [one, other] = [draw(), draw()]
  if (one === undefined || other === undefined) return undefined
  return one.open <= other.open ? one : other
}

/**
 * Selects a peer: one that reaches backend servers before one that didn't say, and one of
 * the own zone before others, until those are busy with requests of this node. Where a peer of
 * the own zone is cut off, one of them that didn't say probably is as well.
 *
 * @param candidates - Live peers that take requests of others, without those that failed to take the request.
 * @param availabilityZone - Zone of this node.
 * @param random - Returns a number in [0, 1) per call.
 * @returns The peer, or `undefined` when none can help.
 *
 * @example
 * selectRelayPeer([{ nodeId: 'n2', availabilityZone: 'a', reach: 'some', open: 0, isAvoided: false }], 'a', Math.random)?.nodeId // => 'n2'
 */
export const selectRelayPeer = (candidates: readonly RelayCandidate[], availabilityZone: string, random: () => number): RelayCandidate | undefined => {
  const usable = candidates.filter(({ reach, isAvoided }) => reach !== 'none' && !isAvoided)
  const reaching = REACH_ORDER.map((wanted) => usable.filter(({ reach }) => reach === wanted)).find((group) => group.length > 0) ?? []
  const isZoneAffected = candidates.some((peer) => peer.availabilityZone === availabilityZone && (peer.reach === 'none' || peer.isAvoided))
  const own = drawPeer(reaching.filter((peer) => peer.availabilityZone === availabilityZone), random)
  const mayBeCutOff = own?.reach === 'unknown' && isZoneAffected
  if (own !== undefined && own.open < SPREAD_FROM_OPEN && !mayBeCutOff) return own
  const remote = drawPeer(reaching.filter((peer) => peer.availabilityZone !== availabilityZone), random)
  if (own === undefined || remote === undefined) return own ?? remote
  return mayBeCutOff || remote.open < own.open ? remote : own
}
