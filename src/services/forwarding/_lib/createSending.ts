/** One send of a request to one backend server, as far as it has come. */
import type { BackendInstance, Exchange } from '../../../types/index.js'

export type Sending = {
  readonly instance: BackendInstance
  readonly startedAt: number
  exchange: Exchange | undefined
  /** Whether a connection took the request: from then on it may have run. */
  isSent: boolean
  /** Monotonic milliseconds of the first bytes of its answer's body. */
  firstBytesAt: number | undefined
  /** Monotonic milliseconds of the last bytes; of the start before any came. */
  lastBytesAt: number
  isOver: boolean
  isSilenceNoted: boolean
}

/** Creates a send that has not begun; `now` in monotonic milliseconds. */
export const createSending = (instance: BackendInstance, now: number): Sending =>
  ({ instance, startedAt: now, exchange: undefined, isSent: false, firstBytesAt: undefined, lastBytesAt: now, isOver: false, isSilenceNoted: false })
