import { describe, expect, it } from 'vitest'
import { createSnapshotStore } from './_lib/createSnapshotStore.js'
import { packLoadCounts } from '../../decisions/packLoadCounts/index.js'
import type { LoadSnapshot } from '../../types/index.js'

const MAXIMUM_AGE_MS = 1_600
const STARTED_AT = 1_700_000_000_000

const createSnapshot = (sequence: number, inFlight: number): LoadSnapshot =>
  ({ scope: 'node', source: 'node-1', nodeId: 'node-1', group: '', sequence, ...packLoadCounts(new Map([[7, inFlight]])) })

const store = (...snapshots: readonly LoadSnapshot[]): number | undefined => {
  const snapshotStore = createSnapshotStore(MAXIMUM_AGE_MS)
  for (const snapshot of snapshots) snapshotStore.put(snapshot, 0)
  return snapshotStore.sum(0).counts.get(7)
}

describe('createSnapshotStore', () => {
  it('keeps the newer of two snapshots that arrive in the wrong order', () =>
    expect(store(createSnapshot(STARTED_AT + 8, 5), createSnapshot(STARTED_AT + 7, 3))).toBe(5))

  // Otherwise the counts of a node from before its restart stay until they expire, and its new ones are dropped.
  it('takes a node that restarted with an earlier clock for a new one', () =>
    expect(store(createSnapshot(STARTED_AT + 8, 5), createSnapshot(STARTED_AT - 2_000, 1))).toBe(1))
})
