/** What a failed exchange shows about its backend server, and the reason to report when the request is given up. */
import type { InstanceHealthEvent } from '../../../decisions/advanceInstanceHealth/index.js'
import type { ExchangeFailure, FinalReason } from '../../../types/index.js'

export type FailureClass = {
  /** `undefined` when the failure shows nothing about the server. */
  readonly event: Extract<InstanceHealthEvent, { kind: 'unreachable' | 'broken' }> | undefined
  readonly reason: FinalReason
}

const classes: Readonly<Record<ExchangeFailure['kind'], FailureClass>> = {
  notSent: { event: { kind: 'unreachable' }, reason: 'noInstance' },
  withdrawn: { event: undefined, reason: 'backingOff' },
  broken: { event: { kind: 'broken' }, reason: 'answerBroken' }
}

export const classifyFailure = ({ kind }: ExchangeFailure): FailureClass => classes[kind]
