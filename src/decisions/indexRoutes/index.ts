import type { GatewayRoute } from '../../types/index.js'

/**
 * Groups routes by host, so that a request is only matched against the routes of its host.
 *
 * @param routes - All routes of a configuration.
 * @returns The routes by lower-case host, the longest prefix first.
 *
 * @example
 * indexRoutes([]).size // => 0
 */
export const indexRoutes = (routes: readonly GatewayRoute[]): ReadonlyMap<string, readonly GatewayRoute[]> => {
  const byHost = new Map<string, GatewayRoute[]>()
  for (const route of routes) {
    const host = route.host.toLowerCase()
    const hostRoutes = byHost.get(host)
    if (hostRoutes === undefined) byHost.set(host, [route])
    else hostRoutes.push(route)
  }
  for (const hostRoutes of byHost.values()) hostRoutes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  return byHost
}
