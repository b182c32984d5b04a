/** What a request is sent to: a backend server, or a peer that sends it to one. */
import type { FailoverInput } from '../../../decisions/isFailoverDue/index.js'
import type { Exchange, ExchangeListener, InstanceAnswer, LogFields } from '../../../types/index.js'

/** What a failed attempt shows about its target. */
export type AttemptFailure =
  /** No connection could be opened. */
  | 'unreachable'
  /** It sent nothing for longer than others need. */
  | 'silent'
  /** The connection ended early, or its bytes were not a valid answer. */
  | 'broken'
  /** It reports that it failed while it ran the request. */
  | 'errored'

export type AttemptTarget = {
  readonly kind: 'backendServer' | 'peer'
  readonly id: string
  /** Software version of a backend server; a peer tells that of the server in its answer. */
  readonly softwareVersion?: string
  /** Identifies the target in the log lines of an attempt. */
  readonly logFields: LogFields
  readonly recordStart: () => void
  readonly recordEnd: () => void
  /** Bytes of an answer arrived. */
  readonly recordBytes: () => void
  /** The head of an answer arrived. */
  readonly recordHead: (answer: InstanceAnswer) => void
  /** A successful answer has begun, this long after the attempt; in milliseconds. */
  readonly recordSuccess: (firstByteMs: number) => void
  /** The answer is complete. */
  readonly recordComplete: () => void
  readonly recordFailure: (failure: AttemptFailure) => void
  /** It stated that it did not run the request. */
  readonly recordRefusal: (answer: InstanceAnswer) => void
  /** Milliseconds since bytes last arrived from it, while a request waits there. */
  readonly readIdleMs: () => number
  /** The same, and whether it is a model engine, which may be silent because it reads prompts. */
  readonly describeSilence: () => Pick<FailoverInput, 'instanceWaitedMs' | 'isModelEngine'>
  /** Whether it may still get the request now. */
  readonly maySend: () => boolean
  readonly send: (listener: ExchangeListener) => Exchange
}
