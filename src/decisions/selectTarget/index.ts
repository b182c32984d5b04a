/** Which of a route's services takes a request, when the route is split by weight. */
import type { GatewayTarget } from '../../types/index.js'

/**
 * Selects a target with the chance of its weight.
 *
 * @param targets - At least one; weights of 0 are never selected unless all are 0.
 * @param share - A number in [0, 1).
 * @returns The selected target.
 *
 * @example
 * selectTarget([{ service: 'engines', weight: 1 }], 0.7).service // => 'engines'
 */
export const selectTarget = (targets: readonly GatewayTarget[], share: number): GatewayTarget => {
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let left = share * total
  for (const target of targets) {
    left -= target.weight
    if (left < 0) return target
  }
  const last = targets.at(-1)
  if (last === undefined) throw new Error('a route has no target')
  return last
}
