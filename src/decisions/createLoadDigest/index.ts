/**
 * Creates the load digests that a node sends to its peers: all load counts, or
 * only those that changed since the last digest to the same receiver.
 */
import type { LoadCount, LoadDigest } from '../../types/index.js'

export type LoadCounts = ReadonlyMap<string, number>

/**
 * Creates the next digest for one receiver.
 *
 * Counts are absolute values, never differences, so that applying a digest
 * twice has no effect. A count that dropped to zero is sent as 0.
 *
 * @param head - Source and sequence number of the digest.
 * @param counts - Current requests in flight by backend server.
 * @param sent - The counts as last sent to this receiver; `undefined` for a full digest.
 * @returns The digest, or `undefined` when nothing changed.
 *
 * @example
 * createLoadDigest(head, new Map([['engine-1', 2]]), new Map([['engine-1', 1]])) // => { ...head, full: false, counts: [{ backendServer: 'engine-1', inFlight: 2 }] }
 */
export const createLoadDigest = (head: Pick<LoadDigest, 'source' | 'sequence'>, counts: LoadCounts, sent: LoadCounts | undefined): LoadDigest | undefined => {
  if (sent === undefined) return { ...head, full: true, counts: listCounts(counts) }
  const changed: LoadCount[] = []
  for (const [backendServer, inFlight] of counts) {
    if ((sent.get(backendServer) ?? 0) !== inFlight) changed.push({ backendServer, inFlight })
  }
  for (const [backendServer, inFlight] of sent) {
    if (inFlight !== 0 && !counts.has(backendServer)) changed.push({ backendServer, inFlight: 0 })
  }
  return changed.length === 0 ? undefined : { ...head, full: false, counts: changed }
}

const listCounts = (counts: LoadCounts): readonly LoadCount[] =>
  [...counts].filter(([, inFlight]) => inFlight !== 0).map(([backendServer, inFlight]) => ({ backendServer, inFlight }))
