/** The status that a router serves on its operator port. */
import type { AccountUsage, Member } from './peer.js'
import type { BackendServerStatus, RequestLedger } from './services.js'

export type PendingGeneration = { readonly generation: number, readonly reason: string }

export type NodeStatus = {
  readonly nodeId: string
  readonly availabilityZone: string
  readonly region: string
  readonly version: string
  /** Whether it accepts new requests. */
  readonly ready: boolean
  /** Generation of the configuration in force; 0 when there is none. */
  readonly generation: number
  /** A newer known generation that is not in force on this node yet, and the reason. */
  readonly pending?: PendingGeneration
  readonly members: readonly Member[]
  readonly backendServers: readonly BackendServerStatus[]
  readonly ledger: RequestLedger
  readonly accountUsage: readonly AccountUsage[]
}
