/**
 * Keeps a request with a quarantined prompt part from every send, retries included, unless
 * it is the trial for which the whole fleet waits.
 */
import type { PathSelector } from './createPathSelector.js'
import type { RequestRecord } from './createRequestRecord.js'
import type { FinalAnswer } from './createFinalAnswer.js'
import type { RequestHandlerContext } from './requestHandler.js'
import { listSharedParts } from '../../../decisions/listSharedParts/index.js'
import type { GatewayRequest } from '../../../types/index.js'
import type { QuarantineVerdict } from '../../promptQuarantine/index.js'

export type QuarantineGate = {
  /** Whether the request may be sent now; otherwise its trial is being claimed, or it was refused. */
  readonly passes: (service: string) => boolean
  /** Whether a part of the prompt is quarantined, whether or not a trial is due; changes nothing. */
  readonly isQuarantined: (service: string) => boolean
}

export type QuarantineGateOptions = {
  readonly request: GatewayRequest
  readonly record: Pick<RequestRecord, 'log'>
  readonly paths: Pick<PathSelector, 'hasArrived'>
  /** Sends the request once it has the trial; every condition of a send is checked again. */
  readonly send: () => void
  readonly refuse: FinalAnswer['refuse']
  readonly giveUp: FinalAnswer['giveUp']
}

const REASON = 'promptQuarantined'

/** Creates the gate of one request. */
export const createQuarantineGate = ({ quarantine, clock }: RequestHandlerContext, { request, record, paths, send, refuse, giveUp }: QuarantineGateOptions): QuarantineGate => {
  const parts = listSharedParts(request.promptParts).map(({ id }) => id)
  let trial: 'none' | 'claiming' | 'granted' | 'lost' = 'none'

  const refuseRequest = (verdict: Exclude<QuarantineVerdict, { readonly kind: 'open' }>): void => {
    if (verdict.kind === 'trialDue' || paths.hasArrived()) return giveUp(REASON, 502, { part: verdict.part })
    refuse({ status: 503, reason: REASON, retryAfterMs: verdict.nextTrialMs }, verdict.evidence)
  }

  const claim = async (service: string, part: string): Promise<void> => {
    const since = clock.now()
    trial = 'claiming'
    const isGranted = await quarantine.claimTrial(service, parts)
    trial = isGranted ? 'granted' : 'lost'
    if (isGranted) record.log('prompt part trial', { service, part, claimMs: Math.round(clock.now() - since) })
    send()
  }

  return {
    passes: (service) => {
      if (parts.length === 0) return true
      if (trial === 'claiming') return false
      if (trial === 'granted' && !paths.hasArrived()) return true
      const verdict = quarantine.inspect(service, parts)
      if (verdict.kind === 'open') return true
      // A peer that relays the request has decided about a trial itself.
      if (verdict.kind === 'trialDue' && trial === 'none' && request.relay === undefined) claim(service, verdict.part)
      else refuseRequest(verdict)
      return false
    },
    isQuarantined: (service) => parts.length > 0 && quarantine.inspect(service, parts).kind !== 'open'
  }
}
