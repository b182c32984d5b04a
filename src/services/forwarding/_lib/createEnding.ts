/**
 * The end of a run: exactly one final answer to its caller, and what is said of
 * it. "Not run" is said only while no server may have run the request.
 */
import type { CallerAnswer } from './createCallerAnswer.js'
import type { RunOutcome, RunRecord } from './createRunRecord.js'
import { computeReturnDelay } from '../../../decisions/computeReturnDelay/index.js'
import type { FinalReason, GatewayRefusal, InstanceAnswer, LogFields, RandomSource } from '../../../types/index.js'

/** A failure that a server stated itself. */
export type StatedFailure = { readonly answer: InstanceAnswer, readonly body: Uint8Array }

export type EndingDependencies = {
  readonly caller: CallerAnswer
  readonly record: Pick<RunRecord, 'finish'>
  readonly random: Pick<RandomSource, 'next'>
  readonly readProgress: () => { readonly mayHaveRun: boolean, readonly sends: number }
  /** Ends the exchange that is under way. */
  readonly dropSending: () => void
  readonly onDone: () => void
}

export type Ending = {
  /** Notes the outcome; the caller has its answer, or is gone. */
  readonly finish: (outcome: RunOutcome, fields?: LogFields) => void
  readonly refuse: (refusal: GatewayRefusal, evidence?: LogFields) => void
  /** Refuses with "not run" while that is true, and with the given status otherwise. */
  readonly giveUp: (reason: FinalReason, statusIfUnknown: 502 | 504, evidence?: LogFields) => void
  /** Keeps the last failure that a server stated, for when nothing better comes. */
  readonly noteStatedFailure: (failure: StatedFailure) => void
  /** Passes the stated failure on. */
  readonly finishStated: () => void
}

/** Creates the end of one run. */
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
    if (caller.hasBegun() || !readProgress().mayHaveRun) return refuse({ status: 503, reason, retryAfterMs: computeReturnDelay(random.next(), reason) }, evidence)
    if (stated !== undefined) return finishStated()
    refuse({ status: statusIfUnknown, reason }, evidence)
  }

  return { finish, refuse, giveUp, noteStatedFailure: (failure) => { stated = failure }, finishStated }
}
