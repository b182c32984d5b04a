/** Settings of a gateway node among stand-ins: the bounds of a small deployment, with ports that the system picks. */
import type { GatewaySettings, PeerAddress } from '../../types/index.js'

const ANY_LOOPBACK_PORT: PeerAddress = { host: '127.0.0.1', port: 0 }

/**
 * Composes settings.
 *
 * @param nodeId - Name of the node.
 * @param changes - What differs from the defaults; times in milliseconds.
 * @returns Whole settings of one node.
 *
 * @example
 * composeGatewaySettings('node-1', { graceMs: 8000 }).availabilityZone // => 'zone-a'
 */
export const composeGatewaySettings = (nodeId: string, changes: Partial<GatewaySettings> = {}): GatewaySettings => ({
  nodeId,
  availabilityZone: 'zone-a',
  callerAddress: ANY_LOOPBACK_PORT,
  readinessAddress: ANY_LOOPBACK_PORT,
  metricsAddress: undefined,
  peerAddress: ANY_LOOPBACK_PORT,
  seedPeers: [],
  fleetKey: 'fleet-of-stand-ins',
  isFirstStart: true,
  graceMs: 4_000,
  keyRevocationMs: 5_000,
  configurationDelayMs: 2_000,
  serverDrainMs: 2_000,
  retryRatio: 0.2,
  retryExtra: 50,
  retryWindowMs: 10_000,
  loadFactor: 2,
  logLevel: 'info',
  ...changes
})
