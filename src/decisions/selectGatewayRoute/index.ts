/** Finds the route of a request by its host, then by the longest matching path prefix. */
import type { GatewayRoute } from '../../types/index.js'

const PORT_SUFFIX = /:\d+$/

/**
 * Finds the route of a request.
 *
 * @param index - Routes by host, as returned by `indexRoutes`.
 * @param host - The request's Host header, with or without a port.
 * @param target - Request path with query.
 * @returns The route with the longest matching prefix, or `undefined` when none matches.
 *
 * @example
 * selectGatewayRoute(indexRoutes([]), 'shop.example', '/chat/1') // => undefined
 */
export const selectGatewayRoute = (index: ReadonlyMap<string, readonly GatewayRoute[]>, host: string, target: string): GatewayRoute | undefined => {
  const routes = index.get(host.toLowerCase().replace(PORT_SUFFIX, ''))
  if (routes === undefined) return undefined
  const queryAt = target.indexOf('?')
  const path = queryAt < 0 ? target : target.slice(0, queryAt)
  return routes.find((route) => path.startsWith(route.pathPrefix))
}
