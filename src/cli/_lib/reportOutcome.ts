/** Maps the outcome of an apply to a message for the operator and an exit code. */
import type { ApplyOutcome } from '../../services/configurationStore/index.js'
import { exitCodes } from '../exitCodes.js'
import { renderChanges, renderGeneration } from './render.js'

export type OutcomeReport = { readonly text: string, readonly exitCode: number }

type OutcomeReporters = { readonly [Kind in ApplyOutcome['kind']]: (outcome: Extract<ApplyOutcome, { readonly kind: Kind }>) => OutcomeReport }

const reporters: OutcomeReporters = {
  applied: ({ generation, changes, replacedBy, isAuditSettled }) => ({
    exitCode: exitCodes.success,
    text: [
      renderChanges(changes),
      `accepted as generation ${generation}`,
      ...(replacedBy === undefined ? [] : [`it has been replaced since: ${renderGeneration(replacedBy)}`]),
      ...(isAuditSettled ? [] : ['the audit trail shows it as attempted until the next change settles it: the platform failed after the acceptance'])
    ].join('\n')
  }),
  unchanged: ({ generation }) => ({ exitCode: exitCodes.success, text: `nothing to change: generation ${generation} has this sheet` }),
  conflict: ({ inForce, differences }) => ({
    exitCode: exitCodes.conflict,
    text: [
      'not accepted: another change was accepted first',
      inForce === undefined ? 'who won could not be read; see `sheet history`' : renderGeneration(inForce),
      ...(differences === undefined ? [] : ['against that generation this sheet would change:', renderChanges(differences)])
    ].join('\n')
  }),
  outcomeUnknown: ({ applyId, generation, message }) => ({
    exitCode: exitCodes.outcomeUnknown,
    text: `it is not known whether generation ${generation} was accepted: ${message}\nwhen the platform is back, look for apply id ${applyId} in \`sheet history\`; repeating the apply with --apply-id ${applyId} cannot apply it twice`
  }),
  unavailable: ({ message }) => ({ exitCode: exitCodes.unavailable, text: `not accepted: the platform is unavailable: ${message}` }),
  damaged: ({ message }) => ({ exitCode: exitCodes.unavailable, text: `not accepted: what the platform holds cannot be read: ${message}` })
}

export const reportOutcome = (outcome: ApplyOutcome): OutcomeReport => reporters[outcome.kind](outcome as never)
