/**
 * What a receiver knows of one source's load, digest by digest.
 */
import type { LoadDigest } from '../../types/index.js'

export type LoadRecord = {
  readonly sequence: number
  /** Requests in flight by backend server; a server that is missing has none. */
  readonly counts: ReadonlyMap<string, number>
  /** A digest was missed, so some counts may be old until a full one comes. */
  readonly hasGap: boolean
}

/**
 * Merges a digest into what is known of its source.
 *
 * A lost digest shows as a jump of the sequence number. Its successor is still
 * applied, as its counts are the newest there are, and `hasGap` tells the
 * caller to ask for a full one. A digest that comes late or twice is ignored:
 * applying it would bring back counts that have been replaced.
 *
 * @param known - The record so far; `undefined` when the source is new.
 * @param digest - The digest that arrived.
 * @returns The new record; `known` itself when the digest is late or repeated.
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

/** After a gap the full digest that was asked for comes under the number of the last one. */
const isLate = (known: LoadRecord, digest: LoadDigest): boolean => {
  const isRepair = digest.full && known.hasGap && digest.sequence === known.sequence
  return digest.sequence <= known.sequence && !isRepair
}

const isAfterGap = (known: LoadRecord | undefined, digest: LoadDigest): boolean =>
  known === undefined || known.hasGap || digest.sequence !== known.sequence + 1
