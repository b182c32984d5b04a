/** Finds the route of a plain request by its path. */
import type { Route } from '../../types/index.js'

/** A route with the path prefix that it is found by, lower-case and without a final slash. */
export type PathRoute = { readonly prefix: string, readonly route: Route }

const covers = (prefix: string, path: string): boolean =>
  path === prefix || path.startsWith(`${prefix}/`)

/**
 * Takes the route with the longest path prefix, by whole segments.
 *
 * Letter case is ignored: a backend server that ignores it too would
 * otherwise run `/shop/Orders` under the looser rules of `/shop`.
 *
 * @param routes - Plain routes, in any order.
 * @param path - A normal path, without query.
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
