/**
 * Computes how many nodes may send requests to a backend server that is warming up,
 * and how many each. Load pattern: a recently started server is the home of prompts
 * for which every node of a large fleet has requests at once, and the burst crashes it.
 * The nodes stay under the bound without coordination: a few are responsible for the
 * server by their rank, each for a fixed share, so that a node that is not responding,
 * partitioned or frozen uses its own share at most.
 */

export type WarmUpBound = {
  /** Sustained rate that a warming server can handle. */
  readonly requestsPerSecond: number
  /** A server may get `excess` times the rate plus `slack` requests in any one second. */
  readonly excess: number
  readonly slack: number
}

export type WarmUpShares = {
  /** Number of nodes that send to one warming server. */
  readonly nodes: number
  /** Requests that each of them may send in any one second. */
  readonly requestsPerNode: number
}

/** The two halves of a partitioned fleet rank different nodes first, and both may use their full share. */
const DISJOINT_VIEWS = 2
/** Several nodes may send, as a server with a single sender gets no requests while that node is down. */
const MAXIMUM_SENDING_NODES = 4

/**
 * Splits the bound between nodes.
 *
 * @param bound - Rate limit of a warming server.
 * @returns The number of nodes that send, and the requests per second of each; 0 nodes when the bound is below one request.
 *
 * @example
 * computeWarmUpShares({ requestsPerSecond: 10, excess: 1.5, slack: 5 }) // => { nodes: 4, requestsPerNode: 2 }
 */
export const computeWarmUpShares = ({ requestsPerSecond, excess, slack }: WarmUpBound): WarmUpShares => {
  const maximumRequests = Math.floor(requestsPerSecond * excess + slack)
  if (maximumRequests < 1) return { nodes: 0, requestsPerNode: 0 }
  const requestsPerView = Math.max(1, Math.floor(Math.min(maximumRequests / DISJOINT_VIEWS, requestsPerSecond)))
  const nodes = Math.min(MAXIMUM_SENDING_NODES, requestsPerView)
  return { nodes, requestsPerNode: Math.floor(requestsPerView / nodes) }
}
