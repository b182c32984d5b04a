/** How one attempt at a backend server ended. */
import { advanceAttempt, type AttemptEvent, type AttemptState } from '../../../decisions/advanceAttempt/index.js'
import type { FailedAttempt } from '../../../decisions/planRetry/index.js'
import type { AttemptOutcome, StoredAnswer } from '../../../types/index.js'
import type { TokenUsage } from './readTokenUsage.js'

export type AttemptEnd =
  | {
    readonly kind: 'delivered'
    /** Set when the whole answer was small enough to keep. */
    readonly stored?: StoredAnswer
    readonly usage?: TokenUsage
    readonly outcome: AttemptOutcome
  }
  | {
    readonly kind: 'failed'
    readonly attempt: FailedAttempt
    readonly message: string
    /** What the failure says of the backend server; nothing when the caller or the deadline ended it. */
    readonly outcome?: AttemptOutcome
  }
  /** The caller stopped reading a stream. */
  | { readonly kind: 'callerLeft', readonly attempt: FailedAttempt }

/** Folds the events of an attempt that failed. */
export const failAfter = (...events: readonly AttemptEvent[]): FailedAttempt => {
  const start: AttemptState = { stage: 'notSent' }
  const state = events.reduce<AttemptState>(advanceAttempt, start)
  if (state.stage !== 'failed') throw new Error(`an attempt that failed is ${state.stage}`)
  return state
}
