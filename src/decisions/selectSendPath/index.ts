/**
 * Decides whether a request goes to a backend server directly or through a peer. Load
 * pattern: a network partition takes away the path from one or many nodes to all backend
 * servers, while callers go on sending to these nodes and peers still reach the servers.
 */

/** What this node can send to directly. */
export type DirectPath =
  /** A backend server that responds to this node, as far as it knows. */
  | 'usable'
  /** Only servers that are suspended because this node did not reach them. */
  | 'suspended'
  /** Only servers to which no connection could be opened for this request. */
  | 'unreached'
  /** No server may get the request, for a reason that is the same on every node. */
  | 'none'

export type SendPath = 'direct' | 'peer' | 'none'

export type SendPathInput = {
  readonly direct: DirectPath
  /** Whether a peer can take the request; never for a request that a peer has passed on already. */
  readonly hasPeer: boolean
  /** Whether a peer sent the request here. */
  readonly isRelayed: boolean
  /** Connections that could not be opened for this request. */
  readonly failedConnects: number
  /** Milliseconds since anything last arrived from any backend server. */
  readonly unheardMs: number
}

/** A node that receives nothing for so long while connections fail is probably cut off itself; a busy node receives answers many times a second. */
const UNHEARD_MS = 300
/** Connections to suspended servers that are tried for one request: each takes its timeout, and its caller could be at another node meanwhile. */
const MAXIMUM_LAST_CONNECTS = 2

/**
 * Selects the path of the next attempt.
 *
 * A request that came from a peer is never sent on to another one, so that it crosses at
 * most one hop, and it isn't tried on suspended servers: its sender has other peers.
 *
 * @param input - What the node can send to, and what it knows about its own reach; times in milliseconds.
 * @returns The path, or `none` when the request must be refused.
 *
 * @example
 * selectSendPath({ direct: 'suspended', hasPeer: true, isRelayed: false, failedConnects: 0, unheardMs: 50 }) // => 'peer'
 */
export const selectSendPath = ({ direct, hasPeer, isRelayed, failedConnects, unheardMs }: SendPathInput): SendPath => {
  if (direct === 'none') return 'none'
  if (isRelayed) return direct === 'usable' ? 'direct' : 'none'
  const isProbablyCutOff = failedConnects > 0 && unheardMs >= UNHEARD_MS
  if (direct === 'usable' && !(isProbablyCutOff && hasPeer)) return 'direct'
  if (hasPeer) return 'peer'
  if (direct === 'usable') return 'direct'
  return direct === 'unreached' || failedConnects >= MAXIMUM_LAST_CONNECTS ? 'none' : 'direct'
}
