/** Selects the reason to report when every backend server of a service is ineligible, each for a reason of its own. */
import type { InstanceEligibility } from '../checkInstanceEligibility/index.js'

/** Ordered by how soon the reason can pass, as Retry-After is derived from the selected reason. */
const SOONEST_FIRST: readonly InstanceEligibility[] = ['open', 'serviceFull', 'warmingUp', 'backingOff', 'zoneDrained', 'regionNotAllowed']

/**
 * Selects the reason why no server of a service may get a request.
 *
 * @param eligibilities - The eligibility of each server of the service.
 * @returns The one that can pass soonest, `'open'` when a server is eligible, or `undefined` without servers.
 *
 * @example
 * selectIneligibility(['zoneDrained', 'warmingUp']) // => 'warmingUp'
 */
export const selectIneligibility = (eligibilities: readonly InstanceEligibility[]): InstanceEligibility | undefined =>
  SOONEST_FIRST.find((eligibility) => eligibilities.includes(eligibility))
