/** Checks whether the key of a request is still valid when the request is sent, and who holds it: it may have been revoked or given to another account since the request arrived. */
import { findAccount } from './findAccount.js'
import type { GatewayAccount, GatewayConfigurationHolder, GatewayRequest, GatewayRoute } from '../../../types/index.js'

export type KeyStatus =
  | 'valid'
  /** The configuration in force no longer contains it. */
  | 'revoked'
  /** The configuration in force was confirmed to be the newest too long ago. */
  | 'unconfirmed'

export type KeyCheckDependencies = {
  readonly configuration: GatewayConfigurationHolder
  /** Age of the configuration's last confirmation up to which a key is accepted, in milliseconds. */
  readonly readKeyFreshnessMs: () => number
}

/** Checks the key of a request; a request without a client account passes. */
export const checkKey = (
  { configuration, readKeyFreshnessMs }: KeyCheckDependencies,
  request: Pick<GatewayRequest, 'credential'>,
  route: GatewayRoute,
  account: GatewayAccount | undefined
): KeyStatus => {
  if (request.credential === undefined || account === undefined) return 'valid'
  if (configuration.confirmedAgeMs() >= readKeyFreshnessMs()) return 'unconfirmed'
  const current = configuration.current()
  return current === undefined || findAccount(current, route, request.credential) === 'unknown' ? 'revoked' : 'valid'
}

/** Returns the client account that holds the key of a request now; the given one where the configuration names none, and none for a request without an account. */
export const findHolder = ({ configuration }: Pick<KeyCheckDependencies, 'configuration'>, { credential }: Pick<GatewayRequest, 'credential'>, route: GatewayRoute, account: GatewayAccount | undefined): GatewayAccount | undefined => {
  const current = configuration.current()
  if (account === undefined || current === undefined) return account
  const holder = findAccount(current, route, credential)
  return holder === 'unknown' ? account : holder
}
