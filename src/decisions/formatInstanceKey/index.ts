import type { BackendInstance } from '../../types/index.js'

/** Cache, since placement needs the keys of all servers of a service for each request. */
const keys = new WeakMap<object, string>()

/**
 * Formats the key of one instance, which is one run of a backend server: a restart empties its prompt cache and resets its counters.
 *
 * @param instance - The backend server.
 * @returns `id@incarnation`.
 *
 * @example
 * formatInstanceKey({ ...instance, id: 'i-1', incarnation: 7 }) // => 'i-1@7'
 */
export const formatInstanceKey = (instance: Pick<BackendInstance, 'id' | 'incarnation'>): string => {
  const known = keys.get(instance)
  if (known !== undefined) return known
  const key = `${instance.id}@${instance.incarnation}`
  keys.set(instance, key)
  return key
}
