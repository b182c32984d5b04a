/**
 * Ends a request: gives the caller exactly one final answer and records the outcome.
 * A refusal states "not run" only while no backend server may have run the request.
 */
import type { CallerAnswer } from './createCallerAnswer.js'
import type { FinalFields, RequestOutcome, RequestRecord } from './createRequestRecord.js'
import { computeRetryAfter } from '../../../decisions/computeRetryAfter/index.js'
import type { RetryAfterOptions } from '../../../decisions/computeRetryAfter/index.js'
import type { FinalReason, GatewayRefusal, InstanceAnswer, LogFields, RandomSource } from '../../../types/index.js'

/** A failure that a backend server reported in a complete answer of its own. */
export type ReportedFailure = { readonly answer: InstanceAnswer, readonly body: Uint8Array }

export type FinalAnswerDependencies = {
  readonly caller: CallerAnswer
  readonly record: Pick<RequestRecord, 'finish'>
  readonly random: Pick<RandomSource, 'next'>
  readonly readProgress: () => { readonly mayHaveRun: boolean, readonly sends: number }
  /** When a backend server accepts requests again, and how long the caller waits at most. */
  readonly readAvailability: () => Pick<RetryAfterOptions, 'availableInMs' | 'remainingMs'>
  /** Aborts the current attempt. */
  readonly abortAttempt: () => void
  readonly onDone: () => void
}

export type FinalAnswer = {
  /** Records the outcome; the caller has its answer or has disconnected. */
  readonly finish: (outcome: RequestOutcome, fields?: FinalFields) => void
  readonly refuse: (refusal: GatewayRefusal, evidence?: LogFields) => void
  /** Refuses with "not run" while that is certain; otherwise passes on the reported failure, or refuses with the given status. */
  readonly giveUp: (reason: FinalReason, statusIfUnknown: 502 | 504, evidence?: LogFields) => void
  /** Ends the request after an unexpected error. Reads nothing of other services: what threw may be in the way there as well. */
  readonly failInternally: () => void
  /** Keeps the last failure that a backend server reported, as the final answer if no retry succeeds. */
  readonly keepReportedFailure: (failure: ReportedFailure) => void
  /** Passes the reported failure on to the caller. */
  readonly finishWithReportedFailure: () => void
}

/** Creates the final answer of one request. */
export const createFinalAnswer = ({ caller, record, random, readProgress, readAvailability, abortAttempt, onDone }: FinalAnswerDependencies): FinalAnswer => {
  let isDone = false
  let reportedFailure: ReportedFailure | undefined

  const finish: FinalAnswer['finish'] = (outcome, fields = {}) => {
    isDone = true
    onDone()
    record.finish(outcome, { ...readProgress(), ...fields })
  }

  const refuse: FinalAnswer['refuse'] = (refusal, evidence = {}) => {
    if (isDone) return
    abortAttempt()
    if (caller.hasBegun()) {
      caller.abort()
      return finish('brokenOff', { reason: refusal.reason, lastEventId: caller.relay.lastEventId(), ...evidence })
    }
    caller.refuse(refusal)
    const retryAfterMs = refusal.retryAfterMs === undefined ? undefined : Math.round(refusal.retryAfterMs)
    finish('refused', { status: refusal.status, reason: refusal.reason, retryAfterMs, ...evidence })
  }

  const finishWithReportedFailure = (): void => {
    if (reportedFailure === undefined) return
    abortAttempt()
    caller.sendComplete(reportedFailure.answer, reportedFailure.body)
    finish('failedAtBackend', { status: reportedFailure.answer.status })
  }

  const giveUp: FinalAnswer['giveUp'] = (reason, statusIfUnknown, evidence = {}) => {
    if (caller.hasBegun() || !readProgress().mayHaveRun) return refuse({ status: 503, reason, retryAfterMs: computeRetryAfter(random.next(), { reason, ...readAvailability() }) }, evidence)
    if (reportedFailure !== undefined) return finishWithReportedFailure()
    refuse({ status: statusIfUnknown, reason }, evidence)
  }

  const failInternally = (): void => refuse(readProgress().mayHaveRun
    ? { status: 502, reason: 'internalError' }
    : { status: 503, reason: 'internalError', retryAfterMs: computeRetryAfter(random.next()) })

  return { finish, refuse, giveUp, failInternally, keepReportedFailure: (failure) => { reportedFailure = failure }, finishWithReportedFailure }
}
