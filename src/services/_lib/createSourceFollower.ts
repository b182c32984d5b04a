/**
 * Keeps a list in sync with its source: reads it completely once and then follows
 * it by watches. A node that relies on the readers of its zone does not read the
 * source while they report.
 */
import { containRead } from './containRead.js'
import type { SourceContact } from './createSourceContact.js'
import { describeSourceError } from '../../decisions/describeSourceError/index.js'
import { isConnectionSuspect } from '../../decisions/isConnectionSuspect/index.js'
import { planSourceRead } from '../../decisions/planSourceRead/index.js'
import type { SourceReadPlan } from '../../decisions/planSourceRead/index.js'
import { describeError } from '../../kernel/index.js'
import type { Clock, Result, SourceError, Timer } from '../../types/index.js'

/** Result of one read of the source; calling its value applies what was read. */
export type SourceReading = Result<() => void, SourceError>

export type FollowedSource = {
  readonly readAll: () => Promise<SourceReading>
  /** Waits for changes since the last read. */
  readonly watch: () => Promise<SourceReading>
  /** Whether the list has been read or received at least once. */
  readonly isKnown: () => boolean
  /** Whether the list waits for entries to come back: relays tell only what changes at the readers, so that this node follows the source itself. */
  readonly isWaiting?: () => boolean
  readonly onReached: () => void
  readonly onLost: (reason: string) => void
  readonly onHistoryGone: () => void
}

export type SourceFollowerOptions = {
  /** Whether this node reads the source for its zone; the others rely on it. Every node does by default. */
  readonly isReader?: () => boolean
  /** Maximum age of a reader's last contact with the source while this node relies on readers, in milliseconds; 0 by default. */
  readonly relianceMs?: number
  /** Time after a failed read, in milliseconds; 200 by default. */
  readonly retryMs?: number
  /** This node's contact with the source, which other readings record as well; each reading of the follower is added. */
  readonly contact?: SourceContact
  /** Called for each read that throws, and with the error where what was read could not be applied; both count as failed. */
  readonly onThrown?: (error?: unknown) => void
}

export type SourceFollower = {
  readonly start: () => void
  readonly stop: () => void
  /** Reports that a peer sent the list, and that the peer reached the source `ageMs` ago. */
  readonly recordRelay: (ageMs: number) => void
  readonly isReachable: () => boolean
  /** Milliseconds since the list was last read, while it can't be; 0 while it can. */
  readonly lostMs: () => number
  /** Registers a listener that is called when the source cannot be read. */
  readonly onPeersNeeded: (listener: () => void) => void
}

const DEFAULT_RETRY_MS = 200

/**
 * Creates the follower of one list.
 *
 * @param clock - Time and timers.
 * @param source - How to read the list, and the handlers of the follower's events.
 * @param options - Whether this node is a reader, and how long it may rely on others.
 * @returns The follower; it runs from its start to its stop.
 */
export const createSourceFollower = (clock: Clock, source: FollowedSource, options: SourceFollowerOptions): SourceFollower => {
  const peersNeededListeners: (() => void)[] = []
  let relayedAt = -Infinity
  /** Undefined before the first response, so that a source that was never reached is reported as well. */
  let isReachable: boolean | undefined
  let readAt = -Infinity
  /** Reads of the whole list that failed in a row. */
  let failedReads = 0
  /** Whether the whole list was read and applied, so that a watch may follow. */
  let isListed = false
  let isStopped = false
  let timer: Timer | undefined

  const recordReached = (): void => {
    if (isReachable === true) return
    isReachable = true
    source.onReached()
  }

  const recordLost = (error: SourceError): void => {
    if (isReachable === false) return
    isReachable = false
    source.onLost(describeSourceError(error))
  }

  const applyReading = (reading: SourceReading, sentAt: number): boolean => {
    if (!reading.ok) {
      options.contact?.recordFailure(reading.error, sentAt)
      if (reading.error.kind === 'historyGone') source.onHistoryGone()
      else recordLost(reading.error)
      return false
    }
    readAt = clock.now()
    options.contact?.record()
    recordReached()
    reading.value()
    return true
  }

  const wait = (ms: number): Promise<void> => new Promise((resolve) => { timer = clock.setTimer(ms, resolve) })

  /** A node without a list, or whose list waits for entries, does not rely on readers. */
  const pace = (error?: SourceError): SourceReadPlan => planSourceRead({
    isReader: !source.isKnown() || source.isWaiting?.() === true || options.isReader?.() !== false,
    ageMs: clock.now() - relayedAt,
    relianceMs: options.relianceMs ?? 0,
    failedReads,
    isConnectionSuspect: isConnectionSuspect(error),
    readerRetryMs: options.retryMs ?? DEFAULT_RETRY_MS
  })

  const step = async (): Promise<void> => {
    const { isRelyingOnReaders, recheckAfterMs } = pace()
    if (isRelyingOnReaders) {
      isListed = false
      failedReads = 0
      return wait(recheckAfterMs)
    }
    const sentAt = clock.now()
    const reading: SourceReading = await containRead(isListed ? source.watch : source.readAll, () => options.onThrown?.())
    if (isStopped) return
    const isApplied = applyReading(reading, sentAt)
    if (!isApplied && !isListed) {
      for (const listener of peersNeededListeners) listener()
      await wait(pace(reading.ok ? undefined : reading.error).retryAfterMs)
    }
    if (!isListed) failedReads = isApplied ? 0 : failedReads + 1
    isListed = isApplied
  }

  /** What was read may be applied in part: the next read is one of the whole list. */
  const recordThrown = (error: unknown): Promise<void> => {
    options.onThrown?.(error)
    isListed = false
    failedReads += 1
    recordLost({ kind: 'malformed', message: describeError(error) })
    return wait(options.retryMs ?? DEFAULT_RETRY_MS)
  }

  const follow = async (): Promise<void> => {
    for (;;) {
      if (isStopped) return
      try {
        await step()
      } catch (error) {
        await recordThrown(error)
      }
    }
  }

  return {
    start: () => { follow() },
    stop: () => {
      isStopped = true
      timer?.cancel()
    },
    recordRelay: (ageMs) => {
      relayedAt = Math.max(relayedAt, clock.now() - ageMs)
      options.contact?.record(ageMs)
    },
    isReachable: () => isReachable === true,
    lostMs: () => isReachable === false ? clock.now() - readAt : 0,
    onPeersNeeded: (listener) => { peersNeededListeners.push(listener) }
  }
}
