/**
 * Plans what follows a failed attempt: a retry on another backend server, a
 * resume of the stream on the same one, or a final refusal to the caller.
 */
import type { RefusalOutcome, RefusalReason } from '../../types/index.js'
import type { AttemptState } from '../advanceAttempt/index.js'

export type FailedAttempt = Extract<AttemptState, { readonly stage: 'failed' }>

export type RetryInput = {
  readonly attempt: FailedAttempt
  /** Whether an earlier attempt of the same request may have run. */
  readonly mayHaveRunBefore: boolean
  /** Whether the request may be run a second time. */
  readonly repeatable: boolean
  /** Whether any byte of a response was sent to the caller. */
  readonly delivered: boolean
  /** Whether the backend server can send the rest of this stream. */
  readonly resumable: boolean
  readonly attempts: number
  readonly resumes: number
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number
  readonly isBudgetAvailable: boolean
  /** In [0, 1), for jitter. */
  readonly random: number
}

export type RetryLimits = {
  readonly maximumAttempts: number
  readonly maximumResumes: number
  /** Upper bound of the first delay, in milliseconds; doubles with each attempt. */
  readonly baseDelayMs: number
  readonly maximumDelayMs: number
}

export type RetryPlan =
  | { readonly kind: 'retryElsewhere', readonly delayMs: number }
  | { readonly kind: 'resume', readonly delayMs: number }
  | { readonly kind: 'refuse', readonly outcome: RefusalOutcome, readonly reason: RefusalReason }

const drawDelay = (limits: RetryLimits, tries: number, random: number): number => {
  const bound = Math.min(limits.maximumDelayMs, limits.baseDelayMs * 2 ** Math.max(0, tries - 1))
  return Math.floor(random * bound)
}

const canResume = (input: RetryInput, limits: RetryLimits): boolean =>
  input.attempt.failedAt === 'answering' && input.resumable && input.resumes < limits.maximumResumes

/** A caller that has received bytes of one response must not get another response appended to them. */
const canRetryElsewhere = (input: RetryInput, limits: RetryLimits): boolean => {
  const allowed = input.attempt.execution === 'notRun' || input.repeatable
  return allowed && !input.delivered && input.attempts < limits.maximumAttempts && input.isBudgetAvailable
}

const refuse = (input: RetryInput): RetryPlan => {
  const mayHaveRun = input.mayHaveRunBefore || input.attempt.execution === 'mayHaveRun'
  const reasonBeforeDeadline = input.attempt.failedAt === 'answering' ? 'answerIncomplete' : 'backendFailed'
  return {
    kind: 'refuse',
    outcome: mayHaveRun ? 'unknown' : 'not-run',
    reason: input.remainingMs <= 0 ? 'deadline' : reasonBeforeDeadline
  }
}

/**
 * Plans what follows a failed attempt.
 *
 * | failed | repeatable | not repeatable |
 * |---|---|---|
 * | certainly not run | elsewhere | elsewhere |
 * | sent, no response | elsewhere | refuse, unknown |
 * | during the response | resume, else elsewhere unless the caller has bytes, else refuse | resume, else refuse, unknown |
 *
 * Retries elsewhere are limited by the number of attempts, the retry budget and
 * the deadline. The delay has full jitter. When it would end after the deadline,
 * the request is refused at once. A resume makes no backend server do work
 * twice, so it takes nothing from the budget.
 *
 * @param input - The failed attempt and the state of its request.
 * @param limits - Limits on attempts, resumes and delays.
 * @returns The plan; delays are in milliseconds.
 *
 * @example
 * planRetry({ attempt: { stage: 'failed', failedAt: 'sent', execution: 'mayHaveRun' }, repeatable: false, ...rest }, limits)
 * // => { kind: 'refuse', outcome: 'unknown', reason: 'backendFailed' }
 */
export const planRetry = (input: RetryInput, limits: RetryLimits): RetryPlan => {
  if (canResume(input, limits)) {
    const delayMs = drawDelay(limits, input.resumes, input.random)
    if (delayMs < input.remainingMs) return { kind: 'resume', delayMs }
  }
  if (canRetryElsewhere(input, limits)) {
    const delayMs = drawDelay(limits, input.attempts, input.random)
    if (delayMs < input.remainingMs) return { kind: 'retryElsewhere', delayMs }
  }
  return refuse(input)
}
