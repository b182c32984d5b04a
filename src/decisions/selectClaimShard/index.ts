/** Maps keys to shards of the claim log; all nodes compute the same shard. */

const FNV_OFFSET_BASIS = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Selects the shard of the claim log for a key by the key's FNV-1a hash.
 *
 * @param keyId - The key, scoped to its client account.
 * @param shardCount - Number of shards, at least 1. All nodes must agree on it.
 * @returns A shard number from 0 to `shardCount - 1`.
 *
 * @example
 * selectClaimShard('["kiosk","order-1"]', 1) // => 0
 */
export const selectClaimShard = (keyId: string, shardCount: number): number => {
  let hash = FNV_OFFSET_BASIS
  for (let index = 0; index < keyId.length; index += 1) {
    hash = Math.imul(hash ^ keyId.charCodeAt(index), FNV_PRIME)
  }
  return (hash >>> 0) % shardCount
}
