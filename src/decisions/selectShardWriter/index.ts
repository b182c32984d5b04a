/** Selects the node that appends to a shard of the claim log. */

const mix = (value: number): number => {
  let mixed = Math.imul(value ^ (value >>> 16), 0x7feb352d)
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x846ca68b)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

const score = (nodeId: string, shard: number): number => {
  let hash = mix(shard + 1)
  for (let index = 0; index < nodeId.length; index += 1) hash = mix(hash ^ nodeId.charCodeAt(index))
  return hash
}

/**
 * Selects a shard's preferred writer by rendezvous hashing over the live nodes.
 *
 * Nodes whose lists of live nodes differ may select different writers. This can
 * cause a write conflict at the platform, but never a duplicate claim.
 *
 * @param nodeIds - The live nodes, in any order.
 * @param shard - Shard number, from 0.
 * @returns The writer's node id; `undefined` when there is no live node.
 *
 * @example
 * selectShardWriter(['r1'], 4) // => 'r1'
 */
export const selectShardWriter = (nodeIds: readonly string[], shard: number): string | undefined => {
  let best: { readonly nodeId: string, readonly score: number } | undefined
  for (const nodeId of nodeIds) {
    const candidate = { nodeId, score: score(nodeId, shard) }
    const wins = best === undefined || candidate.score > best.score || (candidate.score === best.score && nodeId < best.nodeId)
    if (wins) best = candidate
  }
  return best?.nodeId
}
