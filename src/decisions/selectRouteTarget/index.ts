/** Selects the service for a request of a route that is split between services by weight. */
import type { GatewayTarget } from '../../types/index.js'

/**
 * Selects a target with a probability proportional to its weight.
 *
 * @param targets - At least one target. Targets of weight 0 are not selected, unless all weights are 0.
 * @param share - A random number in [0, 1).
 * @returns The selected target.
 *
 * @example
 * selectRouteTarget([{ service: 'engines', weight: 1 }], 0.7).service // => 'engines'
 */
export const selectRouteTarget = (targets: readonly GatewayTarget[], share: number): GatewayTarget => {
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let left = share * total
  for (const target of targets) {
    left -= target.weight
    if (left < 0) return target
  }
  const last = targets.at(-1)
  if (last === undefined) throw new Error('cannot select a target: the route has none')
  return last
}
