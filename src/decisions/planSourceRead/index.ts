/**
 * Decides how often a node reads a source that reader nodes read on behalf of its zone.
 * Load pattern: a source that recovers from an outage gets requests from every node
 * of the fleet at once (thundering herd).
 */

export type SourceReadInput = {
  /** Whether this node reads the source for its zone. */
  readonly isReader: boolean
  /** Milliseconds since the last confirmed read of the source, by this node or by the readers it relies on. */
  readonly ageMs: number
  /** Age in milliseconds up to which a node relies on the readers. */
  readonly relianceMs: number
  /** How many reads have failed in a row before this one. */
  readonly failedReads: number
  /** Whether the last failure may be the connection's alone; false by default. */
  readonly isConnectionSuspect?: boolean
  /** Delay before a reader retries a failed read, in milliseconds. */
  readonly readerRetryMs: number
}

export type SourceReadPlan = {
  /** Whether the node relies on the readers and doesn't read the source itself. */
  readonly isRelyingOnReaders: boolean
  /** While the node relies on readers: milliseconds until it checks again. */
  readonly recheckAfterMs: number
  /** Delay after a failed read, in milliseconds. */
  readonly retryAfterMs: number
}

/** Minimum time between two checks by a node that relies on readers: each check wakes the processor. */
const MINIMUM_RECHECK_INTERVAL_MS = 100
/**
 * Readers notice first that a source has recovered and notify the others; retries by all nodes would add load to a struggling source.
 * The first read is repeated soon, as a single failure may not be the source's.
 */
const NON_READER_RETRY_MS = 2_000

const planRetryMs = ({ isReader, failedReads, isConnectionSuspect = false, readerRetryMs }: SourceReadInput): number => {
  if (failedReads === 0 && isConnectionSuspect) return 0
  return isReader || failedReads === 0 ? readerRetryMs : NON_READER_RETRY_MS
}

/**
 * Plans the next read of the source by one node.
 *
 * @param input - The node's role and the age of its data.
 * @returns Whether the node may rely on the readers, and how long it waits.
 *
 * A first read whose connection may be at fault is repeated at once: until a call on a new connection has failed or been
 * answered, the node knows nothing of the source.
 *
 * @example
 * planSourceRead({ isReader: false, ageMs: 400, relianceMs: 1500, failedReads: 0, readerRetryMs: 250 }).recheckAfterMs // => 1100
 */
export const planSourceRead = (input: SourceReadInput): SourceReadPlan => ({
  isRelyingOnReaders: !input.isReader && input.ageMs < input.relianceMs,
  recheckAfterMs: Math.max(MINIMUM_RECHECK_INTERVAL_MS, input.relianceMs - input.ageMs),
  retryAfterMs: planRetryMs(input)
})
