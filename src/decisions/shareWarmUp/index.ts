/**
 * Who may send to a backend server that warms up, and how much. The load it
 * answers: a server that has just started is the home of prompts for which every
 * node of a large fleet has requests at once, and it crashes under them. All nodes
 * together stay under the bound without asking each other: a few are responsible
 * for the server by their rank, each for a fixed part, so that a node which is
 * silent, cut off or frozen spends its own part at most.
 */

export type WarmUpBound = {
  /** What a warming server bears. */
  readonly requestsPerSecond: number
  /** Multiple of it that it may get in any one second, and requests beyond that. */
  readonly excess: number
  readonly slack: number
}

export type WarmUpShares = {
  /** Nodes that send to one warming server. */
  readonly nodes: number
  /** Requests that each of them may send in any one second. */
  readonly requestsEach: number
}

/** Two halves of a split fleet that know nothing of each other rank different nodes first: both may be at their part. */
const DISJOINT_VIEWS = 2
/** A server that one node alone may send to gets nothing while that one is away. */
const NODES_AT_MOST = 4

/**
 * Shares the bound.
 *
 * @param bound - What a warming server may get, in requests a second.
 * @returns How many nodes send, and how much each; no node where not one request fits.
 *
 * @example
 * shareWarmUp({ requestsPerSecond: 10, excess: 1.5, slack: 5 }) // => { nodes: 4, requestsEach: 2 }
 */
export const shareWarmUp = ({ requestsPerSecond, excess, slack }: WarmUpBound): WarmUpShares => {
  const most = Math.floor(requestsPerSecond * excess + slack)
  if (most < 1) return { nodes: 0, requestsEach: 0 }
  const inOneView = Math.max(1, Math.floor(Math.min(most / DISJOINT_VIEWS, requestsPerSecond)))
  const nodes = Math.min(NODES_AT_MOST, inOneView)
  return { nodes, requestsEach: Math.floor(inOneView / nodes) }
}
