/**
 * Whether a backend server may get a request now, whatever it would cost there.
 * Asked before every send: first ones, repeats, and streams that go on elsewhere.
 */

export type InstanceStanding = {
  /** Region of its availability zone; `undefined` where that is not known. */
  readonly region: string | undefined
  readonly isZoneDrained: boolean
  /** Whether it warms up and this node has no part of its rate left. */
  readonly isAtWarmUpRate: boolean
}

export type InstanceVerdict = 'open' | 'regionNotAllowed' | 'zoneDrained' | 'warmingUp'

const isAllowed = (region: string | undefined, allowed: readonly string[]): boolean =>
  allowed.length === 0 || (region !== undefined && allowed.includes(region))

/**
 * Judges one backend server for one request.
 *
 * @param standing - What is known of the server.
 * @param allowedRegions - Lists of regions that bind the request, each for itself; an empty one binds nothing.
 * @returns `open`, or why it may not get the request.
 *
 * @example
 * judgeInstance({ region: 'north', isZoneDrained: true, isAtWarmUpRate: false }, []) // => 'zoneDrained'
 */
export const judgeInstance = ({ region, isZoneDrained, isAtWarmUpRate }: InstanceStanding, allowedRegions: readonly (readonly string[])[]): InstanceVerdict => {
  if (!allowedRegions.every((allowed) => isAllowed(region, allowed))) return 'regionNotAllowed'
  if (isZoneDrained) return 'zoneDrained'
  return isAtWarmUpRate ? 'warmingUp' : 'open'
}
