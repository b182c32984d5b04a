/**
 * Keeps a list in step with its source: it is read whole once and then followed
 * by watches. A node that relies on the readers of its zone reads nothing while
 * they are heard.
 */
import { describeSourceError } from '../../decisions/describeSourceError/index.js'
import { paceSourceReads } from '../../decisions/paceSourceReads/index.js'
import type { SourceReadPace } from '../../decisions/paceSourceReads/index.js'
import type { Clock, Result, SourceError, Timer } from '../../types/index.js'

/** One reading of the source; what it brought is taken over by calling its value. */
export type SourceReading = Result<() => void, SourceError>

export type FollowedSource = {
  readonly readAll: () => Promise<SourceReading>
  /** Waits for changes since the last reading. */
  readonly watch: () => Promise<SourceReading>
  /** Whether the list was read or learnt at least once. */
  readonly isKnown: () => boolean
  readonly onReached: () => void
  readonly onLost: (reason: string) => void
  readonly onHistoryGone: () => void
}

export type SourceFollowerOptions = {
  /** Whether this node reads the source for its zone; the others rely on it. Every node does by default. */
  readonly isReader?: () => boolean
  /** How long ago the others may have reached the source while a node relies on them, in milliseconds; 0 by default. */
  readonly relianceMs?: number
}

export type SourceFollower = {
  readonly start: () => void
  readonly stop: () => void
  /** A peer that reached the source `ageMs` ago told what it knows. */
  readonly noteRelayed: (ageMs: number) => void
  readonly isReachable: () => boolean
  /** Called when the source can't be read. */
  readonly onNeed: (listener: () => void) => void
}

const RETRY_MS = 200
/** Entries lapse after three heartbeats of silence; an outage that was shorter takes none away. */
const SHORTEST_LAPSE_MS = 3_000

/**
 * Creates the follower of one list.
 *
 * @param clock - Time and timers.
 * @param source - How to read the list, and what to do with it.
 * @param options - Who else reads it.
 * @returns The follower; it reads from its start to its stop.
 */
export const createSourceFollower = (clock: Clock, source: FollowedSource, options: SourceFollowerOptions): SourceFollower => {
  const needListeners: (() => void)[] = []
  let relayedAt = -Infinity
  /** Undefined before the first answer, so that a source that was never reached is told as well. */
  let isReachable: boolean | undefined
  let isStopped = false
  let timer: Timer | undefined

  const noteReached = (): void => {
    if (isReachable === true) return
    isReachable = true
    source.onReached()
  }

  const noteLost = (error: SourceError): void => {
    if (isReachable === false) return
    isReachable = false
    source.onLost(describeSourceError(error))
  }

  const take = (reading: SourceReading): boolean => {
    if (!reading.ok) {
      if (reading.error.kind === 'historyGone') source.onHistoryGone()
      else noteLost(reading.error)
      return false
    }
    noteReached()
    reading.value()
    return true
  }

  const pause = (ms: number): Promise<void> => new Promise((resolve) => { timer = clock.setTimer(ms, resolve) })

  /** A node without a list relies on nobody. */
  const pace = (): SourceReadPace => paceSourceReads({
    isReader: !source.isKnown() || options.isReader?.() !== false,
    ageMs: clock.now() - relayedAt,
    relianceMs: options.relianceMs ?? 0,
    readerRetryMs: RETRY_MS
  })

  /** Entries may have lapsed in an outage that only the readers saw: to this node the source then comes back as well. */
  const endReliance = (): void => {
    if (clock.now() - relayedAt > SHORTEST_LAPSE_MS) isReachable = undefined
  }

  const follow = async (): Promise<void> => {
    let isListed = false
    for (;;) {
      if (isStopped) return
      const { isRelying, lookAfterMs, retryAfterMs } = pace()
      if (isRelying) {
        isListed = false
        await pause(lookAfterMs)
        if (!pace().isRelying) endReliance()
        continue
      }
      const reading: SourceReading = isListed ? await source.watch() : await source.readAll()
      if (isStopped) return
      const isTaken = take(reading)
      if (!isTaken && !isListed) {
        for (const listener of needListeners) listener()
        await pause(retryAfterMs)
      }
      isListed = isTaken
    }
  }

  return {
    start: () => { follow() },
    stop: () => {
      isStopped = true
      timer?.cancel()
    },
    noteRelayed: (ageMs) => { relayedAt = Math.max(relayedAt, clock.now() - ageMs) },
    isReachable: () => isReachable === true,
    onNeed: (listener) => { needListeners.push(listener) }
  }
}
