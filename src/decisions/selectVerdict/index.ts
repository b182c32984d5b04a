/** Why a request finds no backend server, when each of its service is closed to it for a reason of its own. */
import type { InstanceVerdict } from '../judgeInstance/index.js'

/** What would change soonest comes first: a caller is told when to come back by it. */
const SOONEST_FIRST: readonly InstanceVerdict[] = ['open', 'warmingUp', 'zoneDrained', 'regionNotAllowed']

/**
 * Finds the reason for which no server of a service may get a request.
 *
 * @param verdicts - Those of all its servers.
 * @returns The one that is over soonest, or `undefined` without any.
 *
 * @example
 * selectVerdict(['zoneDrained', 'warmingUp']) // => 'warmingUp'
 */
export const selectVerdict = (verdicts: readonly InstanceVerdict[]): InstanceVerdict | undefined =>
  SOONEST_FIRST.find((verdict) => verdicts.includes(verdict))
