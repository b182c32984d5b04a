import type { BackendInstance } from '../../types/index.js'

/**
 * Names one start of a backend server: its memory and its counts begin anew with the next.
 *
 * @param instance - The backend server.
 * @returns `id@incarnation`.
 *
 * @example
 * formatInstanceKey({ ...instance, id: 'i-1', incarnation: 7 }) // => 'i-1@7'
 */
export const formatInstanceKey = (instance: Pick<BackendInstance, 'id' | 'incarnation'>): string => `${instance.id}@${instance.incarnation}`
