/**
 * The validated settings of a router. Times are in milliseconds and sizes in
 * bytes unless the name says otherwise. `src/settings/routerSettingDefinitions`
 * has the flags, environment variables, defaults and ranges.
 */
import type { PeerAddress } from './peer.js'

export type RouterSettings = {
  readonly nodeId: string
  readonly availabilityZone: string
  readonly region: string
  readonly callerHost: string
  readonly callerPort: number
  readonly operatorHost: string
  readonly operatorPort: number
  readonly peerHost: string
  readonly peerPort: number
  /** Address at which peers connect to this node, if it differs from the listener's. */
  readonly advertisedHost: string
  readonly advertisedPort: number
  readonly seedPeers: readonly PeerAddress[]
  readonly platformUrl: string
  readonly fleetKey: string
  readonly operatorToken: string
  readonly heartbeatIntervalMs: number
  readonly suspectAfterMs: number
  readonly deadAfterMs: number
  readonly loadReportIntervalMs: number
  readonly peerTimeoutMs: number
  readonly platformTimeoutMs: number
  readonly watchTimeoutMs: number
  readonly directoryEntries: number
  readonly directoryTtlMs: number
  readonly maximumBodyBytes: number
  readonly maximumFrameBytes: number
  readonly maximumQueueLength: number
  readonly retryShare: number
  readonly maximumAttempts: number
  readonly connectTimeoutMs: number
  readonly answerIdleTimeoutMs: number
  readonly shutdownGraceMs: number
  readonly shutdownDelayMs: number
  readonly claimShards: number
  readonly claimFlushIntervalMs: number
  readonly claimRetentionMs: number
  readonly maximumAnswerBytes: number
  readonly logLevel: string
}
