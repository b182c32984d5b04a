/** Settings of a gateway node among emulated servers: the limits of a small deployment, with ephemeral ports. */
import type { GatewaySettings, PeerAddress } from '../../types/index.js'

const ANY_LOOPBACK_PORT: PeerAddress = { host: '127.0.0.1', port: 0 }

/**
 * Composes the settings of one node.
 *
 * @param nodeId - Name of the node.
 * @param changes - Settings that differ from the defaults; times in milliseconds.
 * @returns The complete settings.
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
  relayAddress: ANY_LOOPBACK_PORT,
  seedPeers: [],
  fleetKey: 'fleet-of-stand-ins',
  isFirstStart: true,
  graceMs: 4_000,
  keyRevocationMs: 5_000,
  configurationDelayMs: 2_000,
  reconnectMs: 3_000,
  serverHeartbeatMs: 1_200,
  serverDrainMs: 2_000,
  retryRatio: 0.2,
  retryExtra: 50,
  retryWindowMs: 10_000,
  loadFactor: 2,
  logLevel: 'info',
  ...changes
})
