/** Tracks the attempts of one request and builds the input of `planRetry` from them. */
import { planRetry, type FailedAttempt, type RetryPlan } from '../../../decisions/planRetry/index.js'
import { isIdempotent, type RequestContext } from './requestContext.js'

export type ResumeState = { readonly isResumable: boolean, readonly resumes: number }

export type RetryPlanner = {
  readonly startAttempt: () => void
  readonly recordFailure: (attempt: FailedAttempt, backendServer: string) => void
  readonly plan: (attempt: FailedAttempt, resume?: ResumeState) => RetryPlan
  /** Whether any attempt so far may have been executed. */
  readonly mayHaveRun: () => boolean
  readonly excluded: ReadonlySet<string>
}

const NOT_RESUMABLE: ResumeState = { isResumable: false, resumes: 0 }

export const createRetryPlanner = (context: RequestContext): RetryPlanner => {
  const { dependencies, limits, retryAllowance, scope, reply } = context
  const excluded = new Set<string>()
  let attempts = 0
  let mayHaveRun = false

  return {
    startAttempt: () => {
      if (attempts === 0) retryAllowance.credit()
      attempts += 1
    },
    recordFailure: (attempt, backendServer) => {
      excluded.add(backendServer)
      mayHaveRun ||= attempt.execution === 'mayHaveRun'
    },
    plan: (attempt, resume = NOT_RESUMABLE) => planRetry({
      attempt,
      mayHaveRunBefore: mayHaveRun,
      repeatable: isIdempotent(context),
      delivered: reply.hasStarted(),
      resumable: resume.isResumable,
      attempts,
      resumes: resume.resumes,
      remainingMs: scope.remainingMs(),
      isBudgetAvailable: retryAllowance.isAvailable(),
      random: dependencies.random.next()
    }, limits),
    mayHaveRun: () => mayHaveRun,
    excluded
  }
}
