/** The order of the backend servers that a gateway node knows, for load counts that name them by their place. */
import { hashText } from '../../hashing/index.js'
import { formatInstanceKey } from '../formatInstanceKey/index.js'
import type { BackendInstance, ServerLayout } from '../../types/index.js'

/**
 * Lays out backend servers by key. Nodes that know the same servers get the
 * same generation whatever way they learned them, and a hash of the keys makes
 * two different lists with one generation as good as impossible.
 *
 * @param instances - The servers that are known, in any order.
 * @returns The servers by key, and the hash of their keys.
 *
 * @example
 * layOutInstances([]).servers // => []
 */
export const layOutInstances = (instances: readonly BackendInstance[]): ServerLayout => {
  const servers = instances
    .map((instance) => ({ name: formatInstanceKey(instance), availabilityZone: instance.availabilityZone }))
    .sort((left, right) => left.name < right.name ? -1 : 1)
  return { generation: hashText(servers.map(({ name }) => name).join(' ')), servers }
}
