/**
 * The attempts of one request that run now: the active one, and for a moment the one that
 * it replaces. A request leaves a silent target only for one that takes it, and whether a
 * target does shows in its first answer: until then the old exchange is set aside, and
 * the request returns to it when the new target refuses or the old one goes on.
 */
import type { SendAttempt } from './createSendAttempt.js'
import type { Clock } from '../../../types/index.js'

export type RunningAttempts = {
  readonly active: () => SendAttempt | undefined
  /** Whether the caller's answer comes from this attempt; one that was set aside and goes on becomes active again. */
  readonly claim: (attempt: SendAttempt) => boolean
  /** Whether the attempt was set aside. */
  readonly isAside: (attempt: SendAttempt) => boolean
  readonly begin: (attempt: SendAttempt) => void
  /** Sets the active attempt aside for the one that begins next. */
  readonly setAside: () => void
  /** Makes the attempt that was set aside active again; returns false when there is none. */
  readonly restore: () => boolean
  /** Gives up the attempt that was set aside. */
  readonly releaseAside: () => void
  /** The active attempt has ended by itself. */
  readonly endActive: () => void
  readonly abortActive: () => void
  readonly abortAll: () => void
  /** Gives up an attempt that was set aside for too long. */
  readonly check: (now: number) => void
}

/**
 * Time in milliseconds after which a new target that has not refused counts as having taken the request. A refusal takes a round
 * trip; two servers may not work on one request for much longer.
 */
const MAXIMUM_OVERLAP_MS = 200

const end = (attempt: SendAttempt): void => {
  if (attempt.isFinished) return
  attempt.isFinished = true
  attempt.target.recordEnd()
}

const abort = (attempt: SendAttempt | undefined): void => {
  if (attempt === undefined) return
  end(attempt)
  attempt.exchange?.abort()
}

/**
 * Creates the attempts of one request; none runs yet.
 *
 * @param clock - Monotonic clock.
 * @param onRestore - Told when the request returns to the attempt that was set aside.
 */
export const createRunningAttempts = (clock: Pick<Clock, 'now'>, onRestore: (attempt: SendAttempt) => void): RunningAttempts => {
  let active: SendAttempt | undefined
  let aside: { readonly attempt: SendAttempt, readonly since: number } | undefined

  const releaseAside = (): void => {
    const released = aside
    aside = undefined
    abort(released?.attempt)
  }

  const abortActive = (): void => {
    const aborted = active
    active = undefined
    abort(aborted)
  }

  const restore = (): boolean => {
    if (aside === undefined) return false
    const { attempt } = aside
    aside = undefined
    abortActive()
    active = attempt
    onRestore(attempt)
    return true
  }

  const isAside = (attempt: SendAttempt): boolean => aside?.attempt === attempt

  return {
    active: () => active,
    isAside,
    claim: (attempt) => attempt === active || (isAside(attempt) && restore()),
    begin: (attempt) => { active = attempt },
    setAside: () => {
      releaseAside()
      if (active !== undefined) aside = { attempt: active, since: clock.now() }
      active = undefined
    },
    restore,
    releaseAside,
    endActive: () => {
      if (active !== undefined) end(active)
      active = undefined
    },
    abortActive,
    abortAll: () => {
      abortActive()
      releaseAside()
    },
    check: (now) => { if (aside !== undefined && now - aside.since >= MAXIMUM_OVERLAP_MS) releaseAside() }
  }
}
