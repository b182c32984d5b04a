/** Tracks the attempts of one request and builds the input of `planRetry` from them. */
import { planRetry, type FailedAttempt, type RetryInput, type RetryPlan } from '../../../decisions/planRetry/index.js'
import { createFailedAttempt } from './attemptEnd.js'
import { isIdempotent, type RequestContext } from './requestContext.js'

export type ResumeState = { readonly isResumable: boolean, readonly resumes: number }

export type RetryPlanner = {
  readonly startAttempt: () => void
  readonly recordFailure: (attempt: FailedAttempt, backendServer: string) => void
  readonly plan: (attempt: FailedAttempt, resume?: ResumeState) => RetryPlan
  /** Whether an attempt that runs at this backend server could be replaced by one at another server now. */
  readonly canMoveFrom: (backendServer: string) => boolean
  /** Whether any attempt so far may have been executed. */
  readonly mayHaveRun: () => boolean
  readonly excluded: ReadonlySet<string>
}

const NOT_RESUMABLE: ResumeState = { isResumable: false, resumes: 0 }
/** Draws the longest delay. */
const HIGHEST_RANDOM = 1

export const createRetryPlanner = (context: RequestContext): RetryPlanner => {
  const { dependencies, limits, retryAllowance, scope, reply } = context
  const excluded = new Set<string>()
  let attempts = 0
  let mayHaveRun = false

  const createInput = (attempt: FailedAttempt, { isResumable, resumes }: ResumeState, random: number): RetryInput => ({
    attempt,
    mayHaveRunBefore: mayHaveRun,
    repeatable: isIdempotent(context),
    delivered: reply.hasStarted(),
    resumable: isResumable,
    attempts,
    resumes,
    remainingMs: scope.remainingMs(),
    isBudgetAvailable: retryAllowance.isAvailable(),
    random
  })

  return {
    startAttempt: () => {
      if (attempts === 0) retryAllowance.credit()
      attempts += 1
    },
    recordFailure: (attempt, backendServer) => {
      excluded.add(backendServer)
      mayHaveRun ||= attempt.execution === 'mayHaveRun'
    },
    plan: (attempt, resume = NOT_RESUMABLE) => planRetry(createInput(attempt, resume, dependencies.random.next()), limits),
    canMoveFrom: (backendServer) => {
      const { route, chatKey, isNewChat } = context.routed
      if (planRetry(createInput(createFailedAttempt('written', 'cut'), NOT_RESUMABLE, HIGHEST_RANDOM), limits).kind !== 'retryElsewhere') return false
      return dependencies.placement.choose({ service: route.service, chatKey, isNewChat, excluded: new Set([...excluded, backendServer]) }).kind === 'chosen'
    },
    mayHaveRun: () => mayHaveRun,
    excluded
  }
}
