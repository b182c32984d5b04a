/**
 * State machine of one attempt at a backend server. Whether a request may be
 * retried, and whether its refusal may state that it did not run, depends on
 * these states alone. An attempt therefore follows only the transitions of the
 * table below, and a final state is never left.
 */

export type AttemptState =
  /** No byte has been written yet. */
  | { readonly stage: 'notSent' }
  /** At least one byte may have been written; no answer yet. */
  | { readonly stage: 'sent' }
  /** Status and headers of the answer to this attempt have arrived. */
  | { readonly stage: 'answering' }
  | { readonly stage: 'complete' }
  | { readonly stage: 'failed', readonly failedAt: 'notSent' | 'sent' | 'answering', readonly execution: Execution }

/** Whether a failed attempt may have been executed by the backend server. */
export type Execution = 'notRun' | 'mayHaveRun'

export type AttemptEvent =
  /** The connection could not be made, or the attempt was abandoned before a byte was written. */
  | 'notSent'
  /** The request was handed to a connection. */
  | 'written'
  /** The backend server sent its documented refusal, which means that it did not run the request. */
  | 'refusedByBackend'
  /** An answer with another request's id arrived. */
  | 'crossedAnswer'
  | 'answerStarted'
  /** The complete answer arrived, with its end marker where it has one. */
  | 'answerEnded'
  /** The connection failed, or the answer ended too early. */
  | 'cut'
  /** The caller disconnected or the deadline passed. */
  | 'cancelled'

type Transitions = { readonly [Event in AttemptEvent]?: AttemptState }

const failed = (failedAt: 'notSent' | 'sent' | 'answering', execution: Execution): AttemptState => ({ stage: 'failed', failedAt, execution })

const transitions: { readonly [Stage in AttemptState['stage']]: Transitions } = {
  notSent: {
    notSent: failed('notSent', 'notRun'),
    cancelled: failed('notSent', 'notRun'),
    written: { stage: 'sent' }
  },
  sent: {
    refusedByBackend: failed('sent', 'notRun'),
    crossedAnswer: failed('sent', 'mayHaveRun'),
    cut: failed('sent', 'mayHaveRun'),
    cancelled: failed('sent', 'mayHaveRun'),
    answerStarted: { stage: 'answering' }
  },
  answering: {
    answerEnded: { stage: 'complete' },
    cut: failed('answering', 'mayHaveRun'),
    crossedAnswer: failed('answering', 'mayHaveRun'),
    cancelled: failed('answering', 'mayHaveRun')
  },
  complete: {},
  failed: {}
}

/**
 * Applies one event to the state of an attempt.
 *
 * An event without a transition from the current state is ignored: an answer
 * that arrives after the attempt failed must not make it complete, and a late
 * connection error must not turn a sent attempt into one that did not run.
 *
 * @param state - The current state of the attempt.
 * @param event - The event to apply.
 * @returns The state after the event.
 *
 * @example
 * advanceAttempt({ stage: 'sent' }, 'cut') // => { stage: 'failed', failedAt: 'sent', execution: 'mayHaveRun' }
 */
export const advanceAttempt = (state: AttemptState, event: AttemptEvent): AttemptState =>
  transitions[state.stage][event] ?? state
