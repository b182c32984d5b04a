/**
 * The tree over which one router's news reaches all routers of its zone, while
 * each router sends only a few copies.
 */

/**
 * Finds to whom a router passes news on.
 *
 * The ranked routers form a tree by their places: the first is the root, and
 * the children of place `n` are the `fanOut` places after `n * fanOut`.
 *
 * @param ranked - All routers of the zone, in the same order everywhere.
 * @param self - This router, one of `ranked`.
 * @param fanOut - Copies that a router sends at most.
 * @returns The routers to send to; none when this one is a leaf or is not ranked.
 *
 * @example
 * findForwardTargets(['a', 'b', 'c', 'd'], 'a', 2) // => ['b', 'c']
 */
export const findForwardTargets = <Node>(ranked: readonly Node[], self: Node, fanOut: number): readonly Node[] => {
  const place = ranked.indexOf(self)
  if (place === -1) return []
  return ranked.slice(place * fanOut + 1, place * fanOut + fanOut + 1)
}
