/**
 * Tells all peers of changed load counts soon after the change, within a
 * budget of bytes a second: changes that come faster are gathered.
 */
import { createLoadDigest } from '../../../decisions/createLoadDigest/index.js'
import type { LoadCounts } from '../../../decisions/createLoadDigest/index.js'
import type { Clock, LoadDigest, Member, Timer } from '../../../types/index.js'

export type LoadBroadcastOptions = {
  readonly clock: Clock
  readonly source: string
  /** Bytes a second that broadcasts may take, with the headers of TCP and IP. */
  readonly bytesPerSecond: number
  readonly readCounts: () => LoadCounts
  readonly listReceivers: () => readonly Member[]
  readonly send: (receiver: Member, digest: LoadDigest) => void
}

export type LoadBroadcast = {
  /** Makes sure that the counts go out soon. */
  readonly noteChange: () => void
  readonly sendFull: (receiver: Member) => void
  /** Sequence number of the last broadcast, by which a peer sees that it missed some. */
  readonly sequence: () => number
}

/** Changes within this time go out together. */
const GATHER_MS = 20
/** Unused budget that may be saved up, as time. */
const BURST_MS = 500
const MS_PER_SECOND = 1000
/** Bytes of a digest without counts, with 40 for the headers of TCP and IP, and those of one count. */
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
    availableAt = Math.max(availableAt, clock.now() - BURST_MS) + bytes / bytesPerMs
  }

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
    noteChange: () => {
      timer ??= clock.setTimer(Math.max(GATHER_MS, availableAt - clock.now()), broadcast)
    },
    // What was broadcast last and not the counts of this moment: a count that has
    // moved since and moves back would be in no later broadcast.
    sendFull: (receiver) => {
      const digest = createLoadDigest({ source, sequence }, sent, undefined)
      if (digest === undefined) return
      spend(DIGEST_BYTES + COUNT_BYTES * digest.counts.length)
      send(receiver, digest)
    },
    sequence: () => sequence
  }
}
