/**
 * What each receiver was sent last, so that the next digest to it carries only
 * the changes.
 */
import { createLoadDigest } from '../../../decisions/createLoadDigest/index.js'
import type { LoadCounts } from '../../../decisions/createLoadDigest/index.js'
import type { LoadDigest } from '../../../types/index.js'

export type Receivers = {
  readonly next: (receiver: string, counts: LoadCounts) => LoadDigest | undefined
  /** Makes the next digest for this receiver a full one. */
  readonly forget: (receiver: string) => void
  readonly names: () => readonly string[]
}

type Receiver = { sent: LoadCounts | undefined, sequence: number, turnsSinceFull: number }

export type ReceiversOptions = {
  readonly source: string
  /**
   * Sequence number to start after. Wall time in milliseconds puts the digests
   * of a restarted router above those of its former life.
   */
  readonly initialSequence: number
  /** Turns after which a full digest goes out in any case. */
  readonly fullEveryTurns: number
}

export const createReceivers = ({ source, initialSequence, fullEveryTurns }: ReceiversOptions): Receivers => {
  const receivers = new Map<string, Receiver>()
  let highestSequence = initialSequence

  const find = (name: string): Receiver => {
    const known = receivers.get(name)
    if (known !== undefined) return known
    const receiver = { sent: undefined, sequence: highestSequence, turnsSinceFull: 0 }
    receivers.set(name, receiver)
    return receiver
  }

  return {
    next: (name, counts) => {
      const receiver = find(name)
      receiver.turnsSinceFull += 1
      // When the last change before a quiet time is lost, no later sequence number
      // tells the receiver so. A full digest now and then ends that.
      const isFullDue = receiver.turnsSinceFull >= fullEveryTurns
      const digest = createLoadDigest({ source, scope: 'node', sequence: receiver.sequence + 1 }, counts, isFullDue ? undefined : receiver.sent)
      if (digest === undefined) return undefined
      if (digest.full) receiver.turnsSinceFull = 0
      receiver.sequence = digest.sequence
      receiver.sent = new Map(counts)
      highestSequence = Math.max(highestSequence, digest.sequence)
      return digest
    },
    forget: (name) => { receivers.delete(name) },
    names: () => [...receivers.keys()]
  }
}
