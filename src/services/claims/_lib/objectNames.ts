/** Names of the claim log's objects in the platform. */

const SEQUENCE_DIGITS = 12

export const layoutName = 'claims/layout'

export const formatShardPrefix = (shard: number): string => `claims/${shard}/`

const formatSequence = (sequence: number): string => String(sequence).padStart(SEQUENCE_DIGITS, '0')

export const formatBatchName = (shard: number, sequence: number): string => `${formatShardPrefix(shard)}${formatSequence(sequence)}`

export const formatPartPrefix = (shard: number): string => `${formatShardPrefix(shard)}parts/`

/** Parts sort by the floor of their snapshot, so that the parts of older snapshots can be listed. */
export const formatPartName = (shard: number, floor: number, snapshotId: string, index: number): string =>
  `${formatPartPrefix(shard)}${formatSequence(floor)}-${snapshotId}-${index}`

/** Sorts after every part of a snapshot with this floor, and before those of higher floors. */
export const formatPartEnd = (shard: number, floor: number): string => `${formatPartPrefix(shard)}${formatSequence(floor)}~`

export const formatSnapshotName = (shard: number): string => `${formatShardPrefix(shard)}snapshot`

export const formatFloorName = (shard: number): string => `${formatShardPrefix(shard)}floor`
