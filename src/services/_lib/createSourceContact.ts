/**
 * Tells an outage of a source from the failure of one call or connection: in an
 * outage no call to the source is answered, neither of this node nor of the peers
 * that read for it, for so long that entries of the source can expire.
 */
import type { Clock, Logger } from '../../types/index.js'

export type SourceContactOptions = {
  /** Duration from which a time without any answer counts as an outage, in milliseconds. */
  readonly minimumOutageMs: number
}

export type SourceContact = {
  /** Records that the source answered a call of this node, or one of a peer `ageMs` milliseconds ago. */
  readonly record: (ageMs?: number) => void
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

  return {
    record: (ageMs = 0) => {
      const at = clock.now() - ageMs
      if (at <= answeredAt) return
      const silentMs = at - answeredAt
      answeredAt = at
      if (silentMs < minimumOutageMs || silentMs === Infinity) return
      outageEndedAt = at
      logger.info('source outage ended', { outageMs: Math.round(silentMs) })
    },
    outageEndedAgoMs: () => clock.now() - outageEndedAt
  }
}
