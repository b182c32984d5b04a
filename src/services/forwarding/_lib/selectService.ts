/** Selects the service of a request among the targets of its route. */
import { selectRouteTarget } from '../../../decisions/selectRouteTarget/index.js'
import type { GatewayRequest, GatewayRoute, RandomSource } from '../../../types/index.js'

/** Returns the service; for a relayed request the one that the caller's node has selected, whose retry budget it counts against. */
export const selectService = ({ targets }: GatewayRoute, { relay }: Pick<GatewayRequest, 'relay'>, random: Pick<RandomSource, 'next'>): string =>
  targets.find(({ service }) => service === relay?.service)?.service ?? selectRouteTarget(targets, random.next()).service
