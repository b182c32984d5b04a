/**
 * Watches the bodies of requests on their way to receivers. A receiver that reads slowly
 * leaves bytes in the queue of its connection; it is looked at only when someone asks, since
 * the queue is empty at once for a receiver that reads.
 */
import type { Socket } from 'node:net'
import type { Clock, UploadBytes } from '../../../types/index.js'

/** What a receiver has not taken. */
export type SlowUpload = { readonly key: string, readonly unsentBytes: number, readonly unansweredBytes: number, readonly stalledMs: number }

export type UploadListener = {
  readonly onSlow: (upload: SlowUpload) => void
  readonly onReading: (key: string) => void
}

export type Uploads = {
  /** A body is about to be written; the returned function is to be called when the answer begins or the exchange ends. */
  readonly begin: (key: string, socket: Pick<Socket, 'writableLength'>, bodyBytes: number) => () => void
  /** Whether the receiver has taken nothing for a while, or has too much left to take. */
  readonly isReadingSlowly: (key: string) => boolean
  readonly countBytes: () => UploadBytes
}

/** A connection that takes nothing for this long delays a further request beyond what its caller can bear; a pause of a small VM is shorter; in milliseconds. */
const STALLED_MS = 400
/** Bytes that may be on their way to one receiver that takes some: more would wait for longer than a request may. */
const MAXIMUM_UNSENT_BYTES = 1_048_576

type Upload = { readonly socket: Pick<Socket, 'writableLength'>, unsentBytes: number, changedAt: number }

type Receiver = { readonly uploads: Set<Upload>, unansweredBytes: number, isSlow: boolean }

/** Creates the watch. */
export const createUploads = (clock: Pick<Clock, 'now'>, listener: UploadListener): Uploads => {
  const receivers = new Map<string, Receiver>()

  const getReceiver = (key: string): Receiver => {
    const known = receivers.get(key)
    if (known !== undefined) return known
    const created: Receiver = { uploads: new Set(), unansweredBytes: 0, isSlow: false }
    receivers.set(key, created)
    return created
  }

  const refresh = (receiver: Receiver): { readonly unsentBytes: number, readonly stalledMs: number } => {
    let unsentBytes = 0
    let stalledMs = 0
    for (const upload of receiver.uploads) {
      const unsent = upload.socket.writableLength
      if (unsent === 0) {
        receiver.uploads.delete(upload)
        continue
      }
      if (unsent !== upload.unsentBytes) upload.changedAt = clock.now()
      upload.unsentBytes = unsent
      unsentBytes += unsent
      stalledMs = Math.max(stalledMs, clock.now() - upload.changedAt)
    }
    return { unsentBytes, stalledMs }
  }

  const setSlow = (key: string, receiver: Receiver, isSlow: boolean, measured: { readonly unsentBytes: number, readonly stalledMs: number }): void => {
    if (receiver.isSlow === isSlow) return
    receiver.isSlow = isSlow
    if (isSlow) listener.onSlow({ key, unansweredBytes: receiver.unansweredBytes, ...measured })
    else listener.onReading(key)
  }

  const check = (key: string, receiver: Receiver): boolean => {
    const measured = refresh(receiver)
    setSlow(key, receiver, measured.stalledMs >= STALLED_MS || measured.unsentBytes >= MAXIMUM_UNSENT_BYTES, measured)
    return receiver.isSlow
  }

  return {
    begin: (key, socket, bodyBytes) => {
      const receiver = getReceiver(key)
      const upload: Upload = { socket, unsentBytes: 0, changedAt: clock.now() }
      let isOpen = true
      receiver.uploads.add(upload)
      receiver.unansweredBytes += bodyBytes
      return () => {
        if (!isOpen) return
        isOpen = false
        receiver.uploads.delete(upload)
        receiver.unansweredBytes -= bodyBytes
        if (receiver.unansweredBytes > 0) return
        setSlow(key, receiver, false, { unsentBytes: 0, stalledMs: 0 })
        receivers.delete(key)
      }
    },
    isReadingSlowly: (key) => {
      const receiver = receivers.get(key)
      return receiver !== undefined && (receiver.uploads.size > 0 || receiver.isSlow) && check(key, receiver)
    },
    countBytes: () => {
      let unsent = 0
      let unanswered = 0
      for (const receiver of receivers.values()) {
        unsent += refresh(receiver).unsentBytes
        unanswered += receiver.unansweredBytes
      }
      return { unsent, unanswered }
    }
  }
}
