/** Finds the route of a request to a plain service by its path. */
import type { Route } from '../../types/index.js'

/** A route with its path prefix, in lower case and without a trailing slash. */
export type PathRoute = { readonly prefix: string, readonly route: Route }

const covers = (prefix: string, path: string): boolean =>
  path === prefix || path.startsWith(`${prefix}/`)

/**
 * Selects the route with the longest path prefix. Prefixes match complete path segments only.
 *
 * Letter case is ignored. Otherwise a backend server that ignores case would
 * run `/shop/Orders` under the less strict rules of `/shop`.
 *
 * @param routes - Plain routes, in any order.
 * @param path - A normalised path, without query.
 * @returns The route, or `undefined` when none covers the path.
 *
 * @example
 * matchRoute([{ prefix: '/shop', route: shop }], '/shop/orders') // => shop
 */
export const matchRoute = (routes: readonly PathRoute[], path: string): Route | undefined => {
  const wanted = path.toLowerCase()
  let best: PathRoute | undefined
  for (const candidate of routes) {
    if (!covers(candidate.prefix, wanted)) continue
    if (best === undefined || candidate.prefix.length > best.prefix.length) best = candidate
  }
  return best?.route
}
