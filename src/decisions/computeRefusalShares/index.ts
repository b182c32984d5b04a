/**
 * Computes how many refusals of one backend server each node may cause. Load pattern: an
 * overload of a service whose servers fail when they have to refuse too many requests in
 * one second. No node sees the refusals of the others, and none can ask them in time, so
 * that each keeps to a fixed share, whether the others run, are cut off or are dead.
 */

export type RefusalShares = {
  /** Number of nodes that may risk refusals, those that rank first for the server. */
  readonly nodes: number
  /** Refusals in any one second that each of them may cause. */
  readonly refusalsPerNode: number
}

/** Part of the limit that is shared out: nodes that started a moment ago are not known to all yet. */
const USABLE_SHARE = 0.7

/**
 * Splits the limit between nodes.
 *
 * @param limit - Refusals in one second that the server bears, from all nodes together.
 * @param members - Nodes that may be running, those that don't respond included; at least 1.
 * @returns The number of nodes that may risk refusals, and the refusals per second of each.
 *
 * @example
 * computeRefusalShares(20, 6) // => { nodes: 6, refusalsPerNode: 2 }
 */
export const computeRefusalShares = (limit: number, members: number): RefusalShares => {
  const usable = Math.floor(USABLE_SHARE * limit)
  const nodes = Math.min(members, usable)
  return { nodes, refusalsPerNode: nodes === 0 ? 0 : Math.floor(usable / nodes) }
}
