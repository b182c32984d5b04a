/** Whether the key of a request may be used at this moment: it was valid when the request came, but may have been taken away since. */
import { findAccount } from './findAccount.js'
import type { GatewayAccount, GatewayConfigurationHolder, GatewayRequest, GatewayRoute } from '../../../types/index.js'

export type KeyVerdict =
  | 'good'
  /** The configuration in force doesn't hold it any more. */
  | 'takenAway'
  /** That the configuration in force is the newest was proved too long ago. */
  | 'unproved'

export type KeyCheckDependencies = {
  readonly configuration: GatewayConfigurationHolder
  /** Age of the proof up to which a key is used, in milliseconds. */
  readonly readKeyFreshnessMs: () => number
}

/** Judges the key of a request; one without an account needs no proof. */
export const checkKey = (
  { configuration, readKeyFreshnessMs }: KeyCheckDependencies,
  request: Pick<GatewayRequest, 'credential'>,
  route: GatewayRoute,
  account: GatewayAccount | undefined
): KeyVerdict => {
  if (request.credential === undefined || account === undefined) return 'good'
  if (configuration.confirmedAgeMs() >= readKeyFreshnessMs()) return 'unproved'
  const current = configuration.current()
  return current === undefined || findAccount(current, route, request.credential) === 'unknown' ? 'takenAway' : 'good'
}
