/**
 * Checks whether a backend server is eligible for a request now, regardless of
 * its load. Runs before every send: first attempts, retries, and streams that
 * continue on another server.
 */

export type InstanceStatus = {
  /** Region of its availability zone; `undefined` when it is not known. */
  readonly region: string | undefined
  readonly isZoneDrained: boolean
  /** Whether it asked this node for a backoff that has not ended. */
  readonly isBackingOff: boolean
  /** Whether it is warming up and this node has used up its share of the warm-up rate. */
  readonly isAtWarmUpRate: boolean
  /** Whether a request could be one refusal more than this node may cause there. */
  readonly isAtRefusalLimit: boolean
  /** Whether it does not take the bodies of requests that this node sends; false when omitted. */
  readonly isReadingSlowly?: boolean
}

export type InstanceEligibility = 'open' | 'regionNotAllowed' | 'zoneDrained' | 'backingOff' | 'warmingUp' | 'serviceFull'

const isRegionAllowed = (region: string | undefined, allowed: readonly string[]): boolean =>
  allowed.length === 0 || (region !== undefined && allowed.includes(region))

/**
 * Checks one backend server for one request.
 *
 * @param status - The status of the server.
 * @param allowedRegions - Lists of allowed regions; the server's region must be in each of them. An empty list allows all regions.
 * @returns `open`, or the reason why the server may not get the request.
 *
 * @example
 * checkInstanceEligibility({ region: 'north', isZoneDrained: true, isBackingOff: false, isAtWarmUpRate: false, isAtRefusalLimit: false }, []) // => 'zoneDrained'
 */
export const checkInstanceEligibility = ({ region, isZoneDrained, isBackingOff, isAtWarmUpRate, isAtRefusalLimit, isReadingSlowly = false }: InstanceStatus, allowedRegions: readonly (readonly string[])[]): InstanceEligibility => {
  if (!allowedRegions.every((allowed) => isRegionAllowed(region, allowed))) return 'regionNotAllowed'
  if (isZoneDrained) return 'zoneDrained'
  if (isBackingOff) return 'backingOff'
  if (isAtWarmUpRate) return 'warmingUp'
  return isAtRefusalLimit || isReadingSlowly ? 'serviceFull' : 'open'
}
