/**
 * Ends a request: gives the caller exactly one final answer and records the outcome.
 * An answer states "not run" only while no backend server may have run the request, whoever made it.
 */
import type { CallerAnswer } from './createCallerAnswer.js'
import type { FinalFields, RequestOutcome, RequestRecord } from './createRequestRecord.js'
import { computeRetryAfter } from '../../../decisions/computeRetryAfter/index.js'
import type { RetryAfterOptions } from '../../../decisions/computeRetryAfter/index.js'
import { promisesNotRun, selectFinalStatus } from '../../../decisions/selectFinalStatus/index.js'
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
  /** Passes the reported failure on to the caller, unless its status promises what the server did not prove. */
  readonly finishWithReportedFailure: () => void
}

/** Status of a refusal of this node, where it may promise that the request did not run. */
const NOT_RUN_STATUS = 503

const describeServer = ({ servedBy, servedByVersion }: InstanceAnswer): Pick<GatewayRefusal, 'servedBy' | 'servedByVersion'> =>
  servedBy === undefined ? {} : { servedBy, servedByVersion }

/** Creates the final answer of one request. */
export const createFinalAnswer = ({ caller, record, random, readProgress, readAvailability, abortAttempt, onDone }: FinalAnswerDependencies): FinalAnswer => {
  let isDone = false
  let reportedFailure: ReportedFailure | undefined

  const finish: FinalAnswer['finish'] = (outcome, fields = {}) => {
    isDone = true
    onDone()
    record.finish(outcome, { ...readProgress(), ...fields })
  }

  /** A caller that can't be told that its request did not run is not told when to come back either. */
  const withProof = (refusal: GatewayRefusal): GatewayRefusal => {
    const status = selectFinalStatus(refusal.status, readProgress().mayHaveRun)
    if (status === refusal.status) return refusal
    const { retryAfterMs: _, ...rest } = refusal
    return { ...rest, status }
  }

  const refuse: FinalAnswer['refuse'] = (refusal, evidence = {}) => {
    if (isDone) return
    abortAttempt()
    if (caller.hasBegun()) {
      caller.abort()
      return finish('brokenOff', { reason: refusal.reason, lastEventId: caller.relay.lastEventId(), ...evidence })
    }
    const proven = withProof(refusal)
    caller.refuse(proven)
    const retryAfterMs = proven.retryAfterMs === undefined ? undefined : Math.round(proven.retryAfterMs)
    finish('refused', { status: proven.status, reason: proven.reason, retryAfterMs, ...evidence })
  }

  const finishWithReportedFailure = (): void => {
    if (reportedFailure === undefined) return
    const { answer, body } = reportedFailure
    if (promisesNotRun(answer.status)) return refuse({ ...describeServer(answer), status: answer.status, reason: 'unprovenRefusal' }, { serverStatus: answer.status })
    abortAttempt()
    caller.sendComplete(answer, body)
    finish('failedAtBackend', { status: answer.status })
  }

  const giveUp: FinalAnswer['giveUp'] = (reason, statusIfUnknown, evidence = {}) => {
    const { mayHaveRun } = readProgress()
    if (!caller.hasBegun() && mayHaveRun && reportedFailure !== undefined) return finishWithReportedFailure()
    const status = selectFinalStatus(NOT_RUN_STATUS, mayHaveRun, { statusIfUnknown })
    const retry = promisesNotRun(status) ? { retryAfterMs: computeRetryAfter(random.next(), { reason, ...readAvailability() }) } : {}
    refuse({ status, reason, ...retry }, evidence)
  }

  const failInternally = (): void => refuse({ status: NOT_RUN_STATUS, reason: 'internalError', retryAfterMs: computeRetryAfter(random.next()) })

  return { finish, refuse, giveUp, failInternally, keepReportedFailure: (failure) => { reportedFailure = failure }, finishWithReportedFailure }
}
