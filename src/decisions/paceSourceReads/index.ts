/**
 * How often a node looks at a source that others read for its zone. The load it
 * answers: a source that is back after an outage meets every node of the fleet at once.
 */

export type SourceReadQuestion = {
  /** Whether this node reads the source for its zone. */
  readonly isReader: boolean
  /** Milliseconds since the source was surely reached, by this node or by those on whom it relies. */
  readonly ageMs: number
  /** Age in milliseconds up to which a node relies on others. */
  readonly relianceMs: number
  /** Pause of a reader after a read that failed, in milliseconds. */
  readonly readerRetryMs: number
}

export type SourceReadPace = {
  /** Whether the others' reads will do. */
  readonly isRelying: boolean
  /** While it relies: milliseconds until that may be over. */
  readonly lookAfterMs: number
  /** Milliseconds to wait after a read that failed. */
  readonly retryAfterMs: number
}

/** Least time between two looks of a node that relies on others: each wakes the processor. */
const LEAST_LOOK_MS = 100
/** Readers find a source that is back first and tell; many others that try would load it in its trouble. */
const RETRY_BESIDE_READERS_MS = 2_000

/**
 * Paces the reads of one node.
 *
 * @param question - Its part, and how old its knowledge is.
 * @returns Whether it may rely on others, and for how long it waits.
 *
 * @example
 * paceSourceReads({ isReader: false, ageMs: 400, relianceMs: 1500, readerRetryMs: 250 }).lookAfterMs // => 1100
 */
export const paceSourceReads = ({ isReader, ageMs, relianceMs, readerRetryMs }: SourceReadQuestion): SourceReadPace => ({
  isRelying: !isReader && ageMs < relianceMs,
  lookAfterMs: Math.max(LEAST_LOOK_MS, relianceMs - ageMs),
  retryAfterMs: isReader ? readerRetryMs : RETRY_BESIDE_READERS_MS
})
