/** The settings of one gateway node, checked. Times are milliseconds. */
import type { PeerAddress } from './peer.js'

export type GatewaySettings = {
  readonly nodeId: string
  readonly availabilityZone: string
  readonly callerAddress: PeerAddress
  readonly readinessAddress: PeerAddress
  readonly metricsAddress: PeerAddress | undefined
  /** Where this node listens for its peers, and what they dial. */
  readonly peerAddress: PeerAddress
  readonly seedPeers: readonly PeerAddress[]
  readonly fleetKey: string
  /** Thousandths of a core that the VM gives this node; unknown where left out. */
  readonly millicores?: number
  /** Whether the whole deployment starts for the first time: engines keep nothing yet. */
  readonly isFirstStart: boolean
  /** Milliseconds from a stop's signal to the process's end by force. */
  readonly graceMs: number
  /** Time after which a key that was taken away must not be used; 0 where no such bound holds. */
  readonly keyRevocationMs: number
  /** Time within which a new configuration has to be in force. */
  readonly configurationDelayMs: number
  /** Time for which a backend server goes on serving after it was taken from the list. */
  readonly serverDrainMs: number
  readonly repeatRatio: number
  readonly repeatExtra: number
  readonly repeatWindowMs: number
  /** No backend server over so many times the mean load of its service, plus 3. */
  readonly loadFactor: number
  /** Multiple of what a warming backend server bears a second that it may get in any second, and requests beyond that; left out where servers don't warm up. */
  readonly warmUpLimit?: { readonly excess: number, readonly slack: number }
  /** Region of each availability zone; empty where nothing is bound to regions. */
  readonly regionByZone?: ReadonlyMap<string, string>
  readonly logLevel: string
}
