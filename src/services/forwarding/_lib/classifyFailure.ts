/** What a failed exchange shows about its target, and the reason to report when the request is given up. */
import type { AttemptFailure } from './attemptTarget.js'
import type { ExchangeFailure, FinalReason } from '../../../types/index.js'

export type FailureClass = {
  /** `undefined` when the failure shows nothing about the target. */
  readonly failure: Extract<AttemptFailure, 'unreachable' | 'broken'> | undefined
  readonly reason: FinalReason
}

const classes: Readonly<Record<ExchangeFailure['kind'], FailureClass>> = {
  notSent: { failure: 'unreachable', reason: 'noInstance' },
  withdrawn: { failure: undefined, reason: 'backingOff' },
  broken: { failure: 'broken', reason: 'answerBroken' }
}

export const classifyFailure = ({ kind }: ExchangeFailure): FailureClass => classes[kind]
