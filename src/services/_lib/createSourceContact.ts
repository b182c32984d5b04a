/**
 * Tells an outage of a source from what is no evidence of one: a silent connection,
 * a time in which this node made no call or did not run. In an outage, calls on new
 * connections fail, and no call is answered, neither of this node nor of the peers
 * that read for it, for so long that entries of the source can expire. The fault may
 * still be this node's alone: a peer that was answered all the while refutes it.
 */
import { isConnectionSuspect } from '../../decisions/isConnectionSuspect/index.js'
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
  /** Milliseconds for which the source has answered without a gap as long as an outage; 0 while it does not. */
  readonly answeredForMs: () => number
  /** Records for how long a peer has been answered so, by its reply of just now. It refutes an outage that began later. */
  readonly recordPeerContact: (answeredForMs: number) => void
  /** Registers a listener that is called when a peer has refuted the last outage. */
  readonly onRefuted: (listener: () => void) => void
}

export type SourceContactDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly logger: Pick<Logger, 'info'>
  /** Milliseconds for which the machine has been suspended, from any beginning; the clock doesn't count them. Never suspended by default. */
  readonly readSuspendedMs?: () => number
}

/** A call that failed on a new connection; times are of the node's clock. */
type FailedCall = { readonly sentAt: number, readonly failedAt: number }

/** Bounds the failed calls that are kept, of which one is evidence enough. */
const MAXIMUM_FAILED_CALLS = 32

/** A shorter suspension, in milliseconds, can't be told from the resolution of the clocks. */
const MINIMUM_SUSPENSION_MS = 100

/**
 * Creates the record of one node's contact with a source.
 *
 * @param dependencies - Time, the log, and how long the machine was suspended.
 * @param options - Duration of an outage.
 * @returns The record, without any answer so far.
 *
 * @example
 * createSourceContact({ clock, logger }, { minimumOutageMs: 2400 }).outageEndedAgoMs() // => Infinity
 */
export const createSourceContact = ({ clock, logger, readSuspendedMs = () => 0 }: SourceContactDependencies, { minimumOutageMs }: SourceContactOptions): SourceContact => {
  const startedAt = clock.now()
  const refutedListeners: (() => void)[] = []
  let answeredAt = -Infinity
  /** How long the machine had been suspended when the last answer arrived. */
  let suspendedBeforeMs = readSuspendedMs()
  let noticedSuspendedMs = suspendedBeforeMs
  let suspensionNoticedAt = -Infinity
  /** Begin of the answers without a gap as long as an outage. */
  let answeredSince = -Infinity
  let outageBeganAt = -Infinity
  let outageEndedAt = -Infinity
  /** Calls since the last answer that failed on new connections. */
  let failedCalls: readonly FailedCall[] = []

  /** The source may have been down while the machine was suspended. */
  const countSuspendedMs = (): number => Math.max(0, readSuspendedMs() - suspendedBeforeMs)

  const noticeSuspension = (): void => {
    const suspendedMs = readSuspendedMs()
    if (suspendedMs - noticedSuspendedMs < MINIMUM_SUSPENSION_MS) return
    noticedSuspendedMs = suspendedMs
    suspensionNoticedAt = clock.now()
  }

  const record: SourceContact['record'] = (ageMs = 0) => {
    const at = clock.now() - ageMs
    if (at <= answeredAt) return
    const suspendedMs = countSuspendedMs()
    const silentMs = at - answeredAt + suspendedMs
    const failedBefore = failedCalls.filter(({ failedAt }) => failedAt <= at)
    const lastAnsweredAt = answeredAt
    answeredAt = at
    suspendedBeforeMs += suspendedMs
    if (silentMs >= minimumOutageMs) answeredSince = at
    failedCalls = failedCalls.filter(({ sentAt }) => sentAt > at)
    if (silentMs < minimumOutageMs || failedBefore.length === 0) return
    outageBeganAt = Math.max(lastAnsweredAt, startedAt) - suspendedMs
    outageEndedAt = at
    logger.info('source outage ended', { outageMs: Math.round(at - outageBeganAt), failedCalls: failedBefore.length })
  }

  return {
    record,
    recordFailure: (error, sentAt) => {
      if (error.kind !== 'unavailable') return record()
      noticeSuspension()
      // What the source answered since then proves that the call failed for another reason; a suspension meanwhile may be one.
      if (isConnectionSuspect(error) || sentAt <= answeredAt || sentAt < suspensionNoticedAt) return
      failedCalls = [...failedCalls, { sentAt, failedAt: clock.now() }].slice(-MAXIMUM_FAILED_CALLS)
    },
    outageEndedAgoMs: () => clock.now() - outageEndedAt,
    answeredForMs: () => clock.now() - answeredAt + countSuspendedMs() < minimumOutageMs ? clock.now() - answeredSince : 0,
    recordPeerContact: (answeredForMs) => {
      if (outageEndedAt === -Infinity || clock.now() - answeredForMs > outageBeganAt) return
      outageEndedAt = -Infinity
      logger.info('source outage refuted', { peerAnsweredForMs: Math.round(answeredForMs) })
      for (const listener of refutedListeners) listener()
    },
    onRefuted: (listener) => { refutedListeners.push(listener) }
  }
}
