/**
 * Tracks the load counts of one source from the digests that it sends.
 */
import type { LoadDigest } from '../../types/index.js'

export type LoadRecord = {
  readonly sequence: number
  /** Requests in flight by backend server; a server that is missing has none. */
  readonly counts: ReadonlyMap<string, number>
  /** A digest was missed, so some counts may be stale until a full digest arrives. */
  readonly hasGap: boolean
}

/**
 * Merges a digest into the record of its source.
 *
 * A lost digest shows as a gap in the sequence numbers. The digest after the
 * gap is still applied, as its counts are the latest, and with `hasGap` the
 * caller requests a full digest. A late or duplicate digest is ignored:
 * applying it would restore counts that have been replaced.
 *
 * @param known - The current record; `undefined` when the source is new.
 * @param digest - The received digest.
 * @returns The new record; `known` itself when the digest is late or a duplicate.
 *
 * @example
 * mergeLoadDigest(undefined, fullDigest).hasGap // => false
 */
export const mergeLoadDigest = (known: LoadRecord | undefined, digest: LoadDigest): LoadRecord => {
  if (known !== undefined && isLate(known, digest)) return known
  const counts = new Map(digest.full ? undefined : known?.counts)
  for (const { backendServer, inFlight } of digest.counts) {
    if (inFlight === 0) counts.delete(backendServer)
    else counts.set(backendServer, inFlight)
  }
  return { sequence: digest.sequence, counts, hasGap: !digest.full && isAfterGap(known, digest) }
}

/** The full digest that was requested after a gap has the same sequence number as the last digest. */
const isLate = (known: LoadRecord, digest: LoadDigest): boolean => {
  const isRepair = digest.full && known.hasGap && digest.sequence === known.sequence
  return digest.sequence <= known.sequence && !isRepair
}

const isAfterGap = (known: LoadRecord | undefined, digest: LoadDigest): boolean =>
  known === undefined || known.hasGap || digest.sequence !== known.sequence + 1
