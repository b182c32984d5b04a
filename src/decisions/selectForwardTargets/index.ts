/**
 * Builds the broadcast tree over which an update of one router reaches all
 * routers of its zone, while each router sends only a few copies.
 */

/**
 * Selects the routers to which a router forwards an update.
 *
 * The ranked routers form a tree by their index: the first is the root, and the
 * children of index `n` are the `fanOut` indexes after `n * fanOut`.
 *
 * @param ranked - All routers of the zone, in the same order on every node.
 * @param self - This router, one of `ranked`.
 * @param fanOut - Maximum number of copies that a router sends.
 * @returns The routers to send to; none when this one is a leaf or is not ranked.
 *
 * @example
 * selectForwardTargets(['a', 'b', 'c', 'd'], 'a', 2) // => ['b', 'c']
 */
export const selectForwardTargets = <Node>(ranked: readonly Node[], self: Node, fanOut: number): readonly Node[] => {
  const index = ranked.indexOf(self)
  if (index === -1) return []
  return ranked.slice(index * fanOut + 1, index * fanOut + fanOut + 1)
}
