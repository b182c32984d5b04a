import type { BackendInstance } from '../../types/index.js'

/** Placement asks for the key of every server of a service for each request. */
const keys = new WeakMap<object, string>()

/**
 * Names one start of a backend server: its memory and its counts begin anew with the next.
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
