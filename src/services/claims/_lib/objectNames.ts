/** Names of the claim log's objects in the platform. */

const SEQUENCE_DIGITS = 12

export const layoutName = 'claims/layout'

export const shardPrefix = (shard: number): string => `claims/${shard}/`

export const batchName = (shard: number, sequence: number): string =>
  `${shardPrefix(shard)}${String(sequence).padStart(SEQUENCE_DIGITS, '0')}`

export const snapshotName = (shard: number): string => `${shardPrefix(shard)}snapshot`

export const floorName = (shard: number): string => `${shardPrefix(shard)}floor`
