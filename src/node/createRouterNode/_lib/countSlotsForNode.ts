import { listAvailableServers, type PlacementDependencies } from '../../../services/placement/index.js'
import type { LoadView } from '../../../types/index.js'

/**
 * Counts the slots of a service that this node may use: the slots of all usable
 * servers, less the requests that other nodes have in flight there. Without any
 * usable server the number is unlimited, so that a request reaches placement and
 * is refused at once instead of waiting until its deadline.
 */
export const countSlotsForNode = (service: string, dependencies: PlacementDependencies & { readonly loadView: Pick<LoadView, 'ownInFlight'> }): number => {
  const servers = listAvailableServers(service, dependencies)
  if (servers.length === 0) return Infinity
  return servers.reduce((sum, { name, weight, inFlight }) => {
    const others = Math.max(0, inFlight - dependencies.loadView.ownInFlight(name))
    return sum + Math.max(0, weight - others)
  }, 0)
}
