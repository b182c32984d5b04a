/**
 * Latest load counts of every peer, and their sum for each backend server. The
 * sums are updated with each digest, so that reading a sum costs one look-up.
 */
import { mergeLoadDigest } from '../../../decisions/mergeLoadDigest/index.js'
import type { LoadRecord } from '../../../decisions/mergeLoadDigest/index.js'
import type { LoadDigest } from '../../../types/index.js'

export type PeerCounts = {
  readonly sum: (backendServer: string) => number
  readonly apply: (digest: LoadDigest) => void
  /** Whether counts of this source are missing, given the sequence number of its last digest. */
  readonly isBehind: (source: string, sequence: number) => boolean
  /** Whether the record of this source has a higher sequence number than its last digest. */
  readonly isAhead: (source: string, sequence: number) => boolean
  readonly remove: (source: string) => void
  readonly sources: () => readonly string[]
}

/** Calls `onChange` with each backend server whose sum changed. */
export const createPeerCounts = (onChange: (backendServer: string) => void): PeerCounts => {
  const records = new Map<string, LoadRecord>()
  const sums = new Map<string, number>()

  const adjustSum = (backendServer: string, difference: number): void => {
    if (difference === 0) return
    const sum = (sums.get(backendServer) ?? 0) + difference
    if (sum === 0) sums.delete(backendServer)
    else sums.set(backendServer, sum)
    onChange(backendServer)
  }

  const replaceCounts = (before: LoadRecord['counts'], after: LoadRecord['counts']): void => {
    for (const [backendServer, inFlight] of after) adjustSum(backendServer, inFlight - (before.get(backendServer) ?? 0))
    for (const [backendServer, inFlight] of before) if (!after.has(backendServer)) adjustSum(backendServer, -inFlight)
  }

  return {
    sum: (backendServer) => sums.get(backendServer) ?? 0,
    apply: (digest) => {
      const known = records.get(digest.source)
      const merged = mergeLoadDigest(known, digest)
      if (merged === known) return
      records.set(digest.source, merged)
      replaceCounts(known?.counts ?? new Map(), merged.counts)
    },
    isBehind: (source, sequence) => {
      const record = records.get(source)
      return record === undefined || record.hasGap || record.sequence < sequence
    },
    isAhead: (source, sequence) => (records.get(source)?.sequence ?? 0) > sequence,
    remove: (source) => {
      replaceCounts(records.get(source)?.counts ?? new Map(), new Map())
      records.delete(source)
    },
    sources: () => [...records.keys()]
  }
}
