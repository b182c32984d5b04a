/** The validated settings of a gateway node. Times are in milliseconds. */
import type { PeerAddress } from './peer.js'

export type GatewaySettings = {
  readonly nodeId: string
  readonly availabilityZone: string
  readonly callerAddress: PeerAddress
  readonly readinessAddress: PeerAddress
  readonly metricsAddress: PeerAddress | undefined
  /** Address on which this node listens for peers, and to which they connect. */
  readonly peerAddress: PeerAddress
  /** Address on which this node takes requests of peers that do not reach the backend servers; `undefined` to take none. */
  readonly relayAddress: PeerAddress | undefined
  /** Last port that may be used instead when the port of `relayAddress` is held by another process; that port alone when omitted. */
  readonly lastRelayPort?: number
  readonly seedPeers: readonly PeerAddress[]
  readonly fleetKey: string
  /** CPU available to this node in thousandths of a core; omitted when unknown. */
  readonly millicores?: number
  /** Memory of the VM in megabytes; omitted when unknown. With `controlsAdmission` it bounds what the node holds for callers and backend servers. */
  readonly memoryMb?: number
  /** Whether the entire deployment starts for the first time, so that all prompt caches are empty. */
  readonly isFirstStart: boolean
  /** Milliseconds from the shutdown signal until the process is killed. */
  readonly graceMs: number
  /** Time after which a revoked key must no longer be accepted; 0 for no such bound. */
  readonly keyRevocationMs: number
  /** Time within which a new configuration must be in force. */
  readonly configurationDelayMs: number
  /** Time after its open connections have failed within which a node must follow changes of the store again. */
  readonly reconnectMs: number
  /** Interval at which backend servers renew their entries in the list. */
  readonly serverHeartbeatMs: number
  /** Time for which a backend server continues to serve after its removal from the list. */
  readonly serverDrainMs: number
  readonly retryRatio: number
  readonly retryExtra: number
  readonly retryWindowMs: number
  /** Maximum load of a backend server: this multiple of the mean load of its service, plus 3 requests. */
  readonly loadFactor: number
  /** Limit on requests to a backend server that is warming up, in any one second: `excess` times its stated rate plus `slack` requests. Omitted when servers need no warm-up. */
  readonly warmUpLimit?: { readonly excess: number, readonly slack: number }
  /** Whether callers of the deployment compete for room: requests wait in the node while no backend server has room. Off when omitted. */
  readonly controlsAdmission?: boolean
  /** Region of each availability zone; empty when requests are not restricted to regions. */
  readonly regionByZone?: ReadonlyMap<string, string>
  readonly logLevel: string
}
