/**
 * Keeps a request from its sends while anything stands against them: before each of them a
 * quarantined prompt part; before the first one a stream's software version, and then room.
 */
import { createAdmissionGate, type AdmissionGate, type AdmissionGateOptions } from './createAdmissionGate.js'
import { createQuarantineGate, type QuarantineGateOptions } from './createQuarantineGate.js'
import { createVersionGate, type VersionGateOptions } from './createVersionGate.js'
import type { RequestHandlerContext } from './requestHandler.js'

export type SendGate = AdmissionGate & {
  /** Whether the parts of the prompt allow a send now; asked before every send. */
  readonly passesQuarantine: (service: string) => boolean
  /** Whether a quarantined part keeps the request from a send now; nothing is refused or claimed. */
  readonly isQuarantined: (service: string) => boolean
}

/** Creates the gate of one request. */
export const createSendGate = (context: RequestHandlerContext, options: AdmissionGateOptions & VersionGateOptions & QuarantineGateOptions): SendGate => {
  const versionGate = createVersionGate(context, options)
  const admissionGate = createAdmissionGate(context, options)
  const quarantineGate = createQuarantineGate(context, options)
  return {
    ...admissionGate,
    passes: (routed, deadlineAt) => versionGate.passes(routed) && admissionGate.passes(routed, deadlineAt),
    passesQuarantine: quarantineGate.passes,
    isQuarantined: quarantineGate.isQuarantined
  }
}
