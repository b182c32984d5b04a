/**
 * Tells an outage of a source from the failure of one call or connection: in an
 * outage no call to the source is answered, neither of this node nor of the peers
 * that read for it, for so long that entries of the source can expire.
 */
import type { Clock, Logger, SourceError } from '../../types/index.js'

export type SourceContactOptions = {
  /** Duration from which a time without any answer counts as an outage, in milliseconds. */
  readonly minimumOutageMs: number
}

export type SourceContact = {
  /** Records that the source answered a call of this node, or one of a peer `ageMs` milliseconds ago. */
  readonly record: (ageMs?: number) => void
  /** Records that a call of this node, sent at `sentAt` on the node's clock, failed. */
  readonly recordFailure: (error: SourceError, sentAt: number) => void
  /** Milliseconds since the end of the last outage; `Infinity` if there was none. */
  readonly outageEndedAgoMs: () => number
}

/**
 * Creates the record of one node's contact with a source.
 *
 * @param dependencies - Time, and the log.
 * @param options - Duration of an outage.
 * @returns The record, without any answer so far.
 *
 * @example
 * createSourceContact({ clock, logger }, { minimumOutageMs: 2400 }).outageEndedAgoMs() // => Infinity
 */
export const createSourceContact = ({ clock, logger }: { readonly clock: Pick<Clock, 'now'>, readonly logger: Pick<Logger, 'info'> }, { minimumOutageMs }: SourceContactOptions): SourceContact => {
  let answeredAt = -Infinity
  let outageEndedAt = -Infinity
  /** Failed calls since the last answer for which no connection can be at fault. */
  let failures = 0

  const record: SourceContact['record'] = (ageMs = 0) => {
    const at = clock.now() - ageMs
    if (at <= answeredAt) return
    const silentMs = at - answeredAt
    const failedCalls = failures
    answeredAt = at
    failures = 0
    if (silentMs < minimumOutageMs || silentMs === Infinity) return
    outageEndedAt = at
    logger.info('source outage ended', { outageMs: Math.round(silentMs), failedCalls })
  }

  return {
    record,
    recordFailure: (error) => {
      if (error.kind !== 'unavailable') return record()
      if (error.isConnectionSuspect !== true) failures += 1
    },
    outageEndedAgoMs: () => clock.now() - outageEndedAt
  }
}
