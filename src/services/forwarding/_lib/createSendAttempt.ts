/** State of one attempt to send a request to one target. */
import type { AttemptTarget } from './attemptTarget.js'
import type { Exchange } from '../../../types/index.js'

export type SendAttempt = {
  readonly target: AttemptTarget
  readonly startedAt: number
  /** Id and software version of the backend server; those of a peer's server are known from its answer. */
  server: string | undefined
  softwareVersion: string | undefined
  exchange: Exchange | undefined
  /** Monotonic milliseconds at which the request was written to a connection: from then on it may have run. */
  sentAt: number | undefined
  /** Monotonic milliseconds at which the first bytes of the answer's body arrived. */
  firstBytesAt: number | undefined
  /** Monotonic milliseconds at which bytes last arrived; the start until then. */
  lastBytesAt: number
  isFinished: boolean
  isUnresponsiveReported: boolean
  /** Whether it was logged that the request stays although the target sends nothing. */
  isStayLogged: boolean
}

/** Creates the state of an attempt that starts now; `now` in monotonic milliseconds. */
export const createSendAttempt = (target: AttemptTarget, now: number): SendAttempt =>
  ({ target, startedAt: now, server: target.kind === 'backendServer' ? target.id : undefined, softwareVersion: target.softwareVersion, exchange: undefined, sentAt: undefined, firstBytesAt: undefined, lastBytesAt: now, isFinished: false, isUnresponsiveReported: false, isStayLogged: false })
