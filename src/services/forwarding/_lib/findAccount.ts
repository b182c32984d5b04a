/** Finds the client account of a request by its key. */
import type { GatewayAccount, GatewayConfiguration, GatewayRoute } from '../../../types/index.js'

/** Returns `unknown` where the route needs a key and the configuration does not contain the given one. */
export const findAccount = (configuration: GatewayConfiguration, route: GatewayRoute, credential: string | undefined): GatewayAccount | undefined | 'unknown' => {
  const account = credential === undefined ? undefined : configuration.accountsByKey.get(credential)
  if (account !== undefined) return account
  return configuration.needsKeys && !route.isPublic ? 'unknown' : undefined
}
