/** Names of the claim log's objects in the platform. */

const SEQUENCE_DIGITS = 12

export const layoutName = 'claims/layout'

export const shardPrefix = (shard: number): string => `claims/${shard}/`

const formatSequence = (sequence: number): string => String(sequence).padStart(SEQUENCE_DIGITS, '0')

export const batchName = (shard: number, sequence: number): string => `${shardPrefix(shard)}${formatSequence(sequence)}`

export const partPrefix = (shard: number): string => `${shardPrefix(shard)}parts/`

/** Parts sort by the floor of their snapshot, so that the parts of older snapshots can be listed. */
export const partName = (shard: number, floor: number, snapshotId: string, index: number): string =>
  `${partPrefix(shard)}${formatSequence(floor)}-${snapshotId}-${index}`

/** Sorts after every part of a snapshot with this floor, and before those of higher floors. */
export const partEnd = (shard: number, floor: number): string => `${partPrefix(shard)}${formatSequence(floor)}~`

export const snapshotName = (shard: number): string => `${shardPrefix(shard)}snapshot`

export const floorName = (shard: number): string => `${shardPrefix(shard)}floor`
