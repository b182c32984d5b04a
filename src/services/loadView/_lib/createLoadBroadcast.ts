/**
 * Broadcasts changed load counts to all peers shortly after the change, within a
 * byte budget per second: faster changes are batched.
 */
import { createLoadDigest } from '../../../decisions/createLoadDigest/index.js'
import type { LoadCounts } from '../../../decisions/createLoadDigest/index.js'
import type { Clock, LoadDigest, Member, Timer } from '../../../types/index.js'

export type LoadBroadcastOptions = {
  readonly clock: Clock
  readonly source: string
  /** Bytes per second for broadcasts, including TCP and IP headers. */
  readonly bytesPerSecond: number
  readonly readCounts: () => LoadCounts
  readonly listReceivers: () => readonly Member[]
  readonly send: (receiver: Member, digest: LoadDigest) => void
}

export type LoadBroadcast = {
  /** Schedules a broadcast of the counts. */
  readonly scheduleBroadcast: () => void
  readonly sendFull: (receiver: Member) => void
  /** Milliseconds from a change to the broadcast that states it, at the present rate of changes. */
  readonly delayMs: () => number
  /** Sequence number of the last broadcast; peers use it to detect missed broadcasts. */
  readonly sequence: () => number
}

/** Changes within this time are sent together. */
const BATCH_MS = 20
/** Maximum unused budget that accumulates, in milliseconds of sending. */
const MAXIMUM_SAVED_BUDGET_MS = 500
const MS_PER_SECOND = 1000
/** Bytes of a digest without counts, including 40 for TCP and IP headers, and bytes of one count. */
const DIGEST_BYTES = 90
const COUNT_BYTES = 5

export const createLoadBroadcast = (options: LoadBroadcastOptions): LoadBroadcast => {
  const { clock, source, readCounts, listReceivers, send } = options
  const bytesPerMs = options.bytesPerSecond / MS_PER_SECOND
  let sequence = 0
  let sent: LoadCounts = new Map()
  let availableAt = -Infinity
  let timer: Timer | undefined

  const spend = (bytes: number): void => {
    availableAt = Math.max(availableAt, clock.now() - MAXIMUM_SAVED_BUDGET_MS) + bytes / bytesPerMs
  }

  const readDelayMs = (): number => Math.max(BATCH_MS, availableAt - clock.now())

  const broadcast = (): void => {
    timer = undefined
    const counts = readCounts()
    const digest = createLoadDigest({ source, sequence: sequence + 1 }, counts, sent)
    const receivers = listReceivers()
    if (digest === undefined || receivers.length === 0) return
    sequence = digest.sequence
    sent = new Map(counts)
    spend(receivers.length * (DIGEST_BYTES + COUNT_BYTES * digest.counts.length))
    for (const receiver of receivers) send(receiver, digest)
  }

  return {
    scheduleBroadcast: () => {
      timer ??= clock.setTimer(readDelayMs(), broadcast)
    },
    // Sends the counts of the last broadcast, not the current ones: a count that has changed since then
    // and changes back would be in no later broadcast.
    sendFull: (receiver) => {
      const digest = createLoadDigest({ source, sequence }, sent, undefined)
      if (digest === undefined) return
      spend(DIGEST_BYTES + COUNT_BYTES * digest.counts.length)
      send(receiver, digest)
    },
    delayMs: readDelayMs,
    sequence: () => sequence
  }
}
