/** Brings the registered targets of routes in line with a configuration. */
import type { RegisteredTarget, RouteTarget } from '../../types/index.js'

export type RouteTargetUpdate = {
  /** Marks targets to which no route leads any more; omitted where the configuration may be late, and nothing ends. */
  readonly endMark?: string
  /** Whether a marked target may be removed. */
  readonly isExpired?: (target: RegisteredTarget) => boolean
}

const formatKey = ({ route, service }: RouteTarget): string => JSON.stringify([route, service])

/**
 * Adds what is missing, marks what has ended, and removes what ended long ago.
 *
 * @param stored - The registered targets.
 * @param inForce - The targets of the configuration.
 * @param update - How ended targets are marked and removed.
 * @returns The new targets; `stored` itself when nothing changes.
 *
 * @example
 * updateRouteTargets([], [{ route: 'r', service: 'engines' }]) // => [{ route: 'r', service: 'engines', endMark: '' }]
 */
export const updateRouteTargets = (stored: readonly RegisteredTarget[], inForce: readonly RouteTarget[], { endMark = '', isExpired = () => false }: RouteTargetUpdate = {}): readonly RegisteredTarget[] => {
  const keys = new Set(inForce.map(formatKey))
  const known = new Set(stored.map(formatKey))
  const kept = stored.flatMap((target) => {
    if (keys.has(formatKey(target))) return target.endMark === '' ? [target] : [{ ...target, endMark: '' }]
    if (target.endMark === '') return endMark === '' ? [target] : [{ ...target, endMark }]
    return isExpired(target) ? [] : [target]
  })
  const added = inForce.filter((target) => !known.has(formatKey(target))).map((target) => ({ ...target, endMark: '' }))
  const isSame = added.length === 0 && kept.length === stored.length && kept.every((target, index) => target === stored[index])
  return isSame ? stored : [...kept, ...added]
}
