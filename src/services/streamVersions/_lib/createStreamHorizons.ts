/**
 * Computes for how long a stream may be taken up after it began, from the routes of its
 * service. The time does not shrink: streams that run began under an earlier configuration.
 */
import type { GatewayConfiguration, GatewayConfigurationHolder } from '../../../types/index.js'

/** Beyond its last try a stream may be taken up for this long, in milliseconds, as views of the list differ by about a second. */
const HORIZON_MARGIN_MS = 5_000
/** Longest route timeout that counts without a configuration, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 15_000

/** Returns the function that gives the time in milliseconds for a service; kept until the configuration changes. */
export const createStreamHorizons = (configuration: Pick<GatewayConfigurationHolder, 'current'>): ((service: string) => number) => {
  const longest = new Map<string, number>()
  /** Services for which the current configuration has been read. */
  let read: { readonly configuration: GatewayConfiguration | undefined, readonly services: Set<string> } = { configuration: undefined, services: new Set() }

  const compute = (service: string): number => {
    const timeouts = (configuration.current()?.routes ?? [])
      .filter(({ retryPolicy, targets }) => retryPolicy === 'stream' && targets.some((target) => target.service === service))
      .map(({ timeoutMs }) => timeoutMs)
    return HORIZON_MARGIN_MS + (timeouts.length > 0 ? Math.max(...timeouts) : DEFAULT_TIMEOUT_MS)
  }

  return (service) => {
    const current = configuration.current()
    if (current !== read.configuration) read = { configuration: current, services: new Set() }
    if (!read.services.has(service)) {
      read.services.add(service)
      longest.set(service, Math.max(longest.get(service) ?? 0, compute(service)))
    }
    return longest.get(service) ?? DEFAULT_TIMEOUT_MS
  }
}
