/** How one attempt at a backend server ended. */
import { advanceAttempt, type AttemptEvent, type AttemptState } from '../../../decisions/advanceAttempt/index.js'
import type { FailedAttempt } from '../../../decisions/planRetry/index.js'
import type { AttemptOutcome, StoredAnswer } from '../../../types/index.js'
import type { TokenUsage } from './readTokenUsage.js'

export type AttemptEnd =
  | {
    readonly kind: 'delivered'
    /** Set when the complete answer was small enough to buffer. */
    readonly stored?: StoredAnswer
    readonly usage?: TokenUsage
    readonly outcome: AttemptOutcome
  }
  | {
    readonly kind: 'failed'
    readonly attempt: FailedAttempt
    readonly message: string
    /** Result for the health record of the backend server; not set when the caller or the deadline ended the attempt. */
    readonly outcome?: AttemptOutcome
  }
  /** The caller stopped reading the answer. */
  | { readonly kind: 'callerLeft', readonly attempt: FailedAttempt }

/** Computes the final state of a failed attempt from its events. */
export const createFailedAttempt = (...events: readonly AttemptEvent[]): FailedAttempt => {
  const start: AttemptState = { stage: 'notSent' }
  const state = events.reduce<AttemptState>(advanceAttempt, start)
  if (state.stage !== 'failed') throw new Error(`expected a failed attempt, got stage ${state.stage}`)
  return state
}
