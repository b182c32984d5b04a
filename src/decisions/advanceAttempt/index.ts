/**
 * The life of one attempt at a backend server. Whether a request may be sent
 * again, and what its refusal may claim, rests on these states alone, so an
 * attempt moves only along the table below and a final state is never left.
 */

export type AttemptState =
  /** No byte was written yet. */
  | { readonly stage: 'notSent' }
  /** At least one byte may have been written; no answer yet. */
  | { readonly stage: 'sent' }
  /** Status and headers of the attempt's own answer have arrived. */
  | { readonly stage: 'answering' }
  | { readonly stage: 'complete' }
  | { readonly stage: 'failed', readonly failedAt: 'notSent' | 'sent' | 'answering', readonly execution: Execution }

/** What is known of a failed attempt: it surely did not run, or it may have. */
export type Execution = 'notRun' | 'mayHaveRun'

export type AttemptEvent =
  /** The connection could not be made, or the attempt was given up before a byte was written. */
  | 'notSent'
  /** The request was handed to a connection. */
  | 'written'
  /** The backend server's documented refusal arrived. */
  | 'refusedByBackend'
  /** An answer with another request's id arrived. */
  | 'crossedAnswer'
  | 'answerStarted'
  /** The whole answer arrived, with its end marker where it has one. */
  | 'answerEnded'
  /** The connection failed, or the answer ended too early. */
  | 'cut'
  /** The caller hung up or the deadline passed. */
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
 * Moves an attempt on by one event.
 *
 * An event that the present state has no place for changes nothing: an answer
 * that arrives after the attempt has failed is late, and must not make it
 * complete, nor may a late connection error make a sent attempt "not run".
 *
 * @param state - Where the attempt stands.
 * @param event - What happened.
 * @returns The state after the event.
 *
 * @example
 * advanceAttempt({ stage: 'sent' }, 'cut') // => { stage: 'failed', failedAt: 'sent', execution: 'mayHaveRun' }
 */
export const advanceAttempt = (state: AttemptState, event: AttemptEvent): AttemptState =>
  transitions[state.stage][event] ?? state
