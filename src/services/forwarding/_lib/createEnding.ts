/**
 * Ends a request: gives the caller exactly one final answer and records the outcome.
 * A refusal states "not run" only while no backend server may have run the request.
 */
import type { CallerAnswer } from './createCallerAnswer.js'
import type { RunOutcome, RunRecord } from './createRunRecord.js'
import { computeRetryAfter } from '../../../decisions/computeRetryAfter/index.js'
import type { FinalReason, GatewayRefusal, InstanceAnswer, LogFields, RandomSource } from '../../../types/index.js'

/** A failure that a backend server reported in a complete answer of its own. */
export type StatedFailure = { readonly answer: InstanceAnswer, readonly body: Uint8Array }

export type EndingDependencies = {
  readonly caller: CallerAnswer
  readonly record: Pick<RunRecord, 'finish'>
  readonly random: Pick<RandomSource, 'next'>
  readonly readProgress: () => { readonly mayHaveRun: boolean, readonly sends: number }
  /** Aborts the current attempt. */
  readonly dropSending: () => void
  readonly onDone: () => void
}

export type Ending = {
  /** Records the outcome; the caller has its answer or has disconnected. */
  readonly finish: (outcome: RunOutcome, fields?: LogFields) => void
  readonly refuse: (refusal: GatewayRefusal, evidence?: LogFields) => void
  /** Refuses with "not run" while that is certain; otherwise passes on the reported failure, or refuses with the given status. */
  readonly giveUp: (reason: FinalReason, statusIfUnknown: 502 | 504, evidence?: LogFields) => void
  /** Keeps the last failure that a backend server reported, as the final answer if no retry succeeds. */
  readonly noteStatedFailure: (failure: StatedFailure) => void
  /** Passes the reported failure on to the caller. */
  readonly finishStated: () => void
}

/** Creates the end of one request. */
export const createEnding = ({ caller, record, random, readProgress, dropSending, onDone }: EndingDependencies): Ending => {
  let isDone = false
  let stated: StatedFailure | undefined

  const finish: Ending['finish'] = (outcome, fields = {}) => {
    isDone = true
    onDone()
    record.finish(outcome, { sends: readProgress().sends, ...fields })
  }

  const refuse: Ending['refuse'] = (refusal, evidence = {}) => {
    if (isDone) return
    dropSending()
    const { mayHaveRun } = readProgress()
    if (caller.hasBegun()) {
      caller.breakOff()
      return finish('brokenOff', { reason: refusal.reason, mayHaveRun, lastEventId: caller.relay.lastEventId(), ...evidence })
    }
    caller.refuse(refusal)
    const retryAfterMs = refusal.retryAfterMs === undefined ? undefined : Math.round(refusal.retryAfterMs)
    finish('refused', { status: refusal.status, reason: refusal.reason, retryAfterMs, mayHaveRun, ...evidence })
  }

  const finishStated = (): void => {
    if (stated === undefined) return
    dropSending()
    caller.whole(stated.answer, stated.body)
    finish('failedAtBackend', { status: stated.answer.status })
  }

  const giveUp: Ending['giveUp'] = (reason, statusIfUnknown, evidence = {}) => {
    if (caller.hasBegun() || !readProgress().mayHaveRun) return refuse({ status: 503, reason, retryAfterMs: computeRetryAfter(random.next(), reason) }, evidence)
    if (stated !== undefined) return finishStated()
    refuse({ status: statusIfUnknown, reason }, evidence)
  }

  return { finish, refuse, giveUp, noteStatedFailure: (failure) => { stated = failure }, finishStated }
}
