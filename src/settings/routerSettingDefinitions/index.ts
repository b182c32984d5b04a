/**
 * Table of all router settings: schema, default, unit and description of each.
 * Flags, environment variables, the `--help` text and docs/SETTINGS.md are
 * generated from this table.
 */
import { z } from 'zod'
import type { PeerAddress, RouterSettings } from '../../types/index.js'

export type SettingDefinition = {
  readonly name: keyof RouterSettings
  readonly schema: z.ZodType
  /** Default as it would be written on the command line; omitted for required settings. */
  readonly defaultText?: string
  readonly unit: string
  readonly range: string
  readonly description: string
  /** A secret is read from the environment or a file, never from a flag, and is never printed. */
  readonly secret?: boolean
}

const parsePeerAddress = (text: string): PeerAddress => {
  const separator = text.lastIndexOf(':')
  return { host: text.slice(0, separator), port: Number(text.slice(separator + 1)) }
}

const peerAddressPattern = /^[^\s,]+:\d{1,5}$/

const peerAddressList = z.string()
  .transform((text) => text.split(',').map((part) => part.trim()).filter((part) => part !== ''))
  .refine((parts) => parts.every((part) => peerAddressPattern.test(part)), 'must be host:port, several separated by commas')
  .transform((parts) => parts.map(parsePeerAddress))

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'must be 1 to 63 letters, digits, dots, dashes or underscores')
const host = z.string().min(1, 'must not be empty')
const origin = z.string().regex(/^https?:\/\/[^/\s]+\/?$/, 'must be an origin such as http://127.0.0.1:7000')
const secret = z.string().min(16, 'must have at least 16 characters')

const decimal = (minimum: number, maximum: number, check: z.ZodNumber): z.ZodType => z.string()
  .trim()
  .min(1, `must be a number from ${minimum} to ${maximum}`)
  .pipe(z.coerce.number({ error: `must be a number from ${minimum} to ${maximum}` }))
  .pipe(check)

const between = (minimum: number, maximum: number) => {
  const message = `must be a whole number from ${minimum} to ${maximum}`
  return {
    schema: decimal(minimum, maximum, z.number().int(message).min(minimum, message).max(maximum, message)),
    range: `${minimum} to ${maximum}`
  }
}

const fraction = (minimum: number, maximum: number) => {
  const message = `must be a number from ${minimum} to ${maximum}`
  return {
    schema: decimal(minimum, maximum, z.number().min(minimum, message).max(maximum, message)),
    range: `${minimum} to ${maximum}`
  }
}

const port = between(0, 65_535)
const logLevels = ['error', 'warn', 'info', 'debug'] as const

export const routerSettingDefinitions: readonly SettingDefinition[] = [
  { name: 'nodeId', schema: name, unit: 'name', range: '1 to 63 characters', description: 'Name of this router, unique over the fleet' },
  { name: 'availabilityZone', schema: name, unit: 'name', range: '1 to 63 characters', description: 'Availability zone that this router runs in' },
  { name: 'region', schema: name, defaultText: 'default', unit: 'name', range: '1 to 63 characters', description: 'Region that the availability zone belongs to' },
  { name: 'callerHost', schema: host, defaultText: '127.0.0.1', unit: 'address', range: 'any', description: 'Address of the listener for callers' },
  { name: 'callerPort', ...port, defaultText: '8080', unit: 'port', description: 'Port of the listener for callers; 0 takes a free one' },
  { name: 'operatorHost', schema: host, defaultText: '127.0.0.1', unit: 'address', range: 'any', description: 'Address of the listener for operators' },
  { name: 'operatorPort', ...port, defaultText: '8081', unit: 'port', description: 'Port of the listener for operators; 0 takes a free one' },
  { name: 'peerHost', schema: host, defaultText: '127.0.0.1', unit: 'address', range: 'any', description: 'Address of the listener for peers' },
  { name: 'peerPort', ...port, defaultText: '8082', unit: 'port', description: 'Port of the listener for peers; 0 takes a free one' },
  { name: 'advertisedHost', schema: z.string(), defaultText: '', unit: 'address', range: 'any', description: 'Address that peers use to reach this router, when it is not the peer host' },
  { name: 'advertisedPort', ...port, defaultText: '0', unit: 'port', description: 'Port that peers use to reach this router; 0 means the peer port' },
  { name: 'seedPeers', schema: peerAddressList, defaultText: '', unit: 'host:port list', range: 'any', description: 'Peers to try first, besides those that the platform lists' },
  { name: 'platformUrl', schema: origin, unit: 'URL', range: 'http or https origin', description: "Origin of the platform's object API" },
  { name: 'fleetKey', schema: secret, unit: 'secret', range: '16 characters or more', secret: true, description: 'Shared by all routers; peers prove it to each other' },
  { name: 'operatorToken', schema: secret, unit: 'secret', range: '16 characters or more', secret: true, description: 'Bearer token of the operator port' },
  { name: 'heartbeatIntervalMs', ...between(50, 10_000), defaultText: '500', unit: 'ms', description: 'Time between heartbeats to peers' },
  { name: 'suspectAfterMs', ...between(200, 60_000), defaultText: '1500', unit: 'ms', description: 'Silence after which a peer is suspected' },
  { name: 'deadAfterMs', ...between(400, 120_000), defaultText: '4000', unit: 'ms', description: 'Silence after which a peer counts as dead' },
  { name: 'loadReportIntervalMs', ...between(50, 60_000), defaultText: '1000', unit: 'ms', description: "Time between reads of a backend server's load report" },
  { name: 'peerTimeoutMs', ...between(10, 10_000), defaultText: '250', unit: 'ms', description: 'Time-out of a request to a peer' },
  { name: 'platformTimeoutMs', ...between(50, 60_000), defaultText: '2000', unit: 'ms', description: 'Time-out of a call to the platform' },
  { name: 'watchTimeoutMs', ...between(100, 300_000), defaultText: '25000', unit: 'ms', description: 'How long a waiting watch on the platform lasts' },
  { name: 'directoryEntries', ...between(0, 5_000_000), defaultText: '200000', unit: 'entries', description: 'Chats that this node remembers the backend server of' },
  { name: 'directoryTtlMs', ...between(1_000, 86_400_000), defaultText: '7200000', unit: 'ms', description: 'How long such a chat is remembered' },
  { name: 'maximumBodyBytes', ...between(1_024, 64_000_000), defaultText: '4000000', unit: 'bytes', description: "Largest body of a caller's request" },
  { name: 'maximumFrameBytes', ...between(4_096, 16_000_000), defaultText: '2000000', unit: 'bytes', description: 'Largest frame between peers' },
  { name: 'maximumQueueLength', ...between(0, 100_000), defaultText: '1000', unit: 'requests', description: 'Requests that may wait for a backend server at this node' },
  { name: 'retryShare', ...fraction(0, 1), defaultText: '0.1', unit: 'share', description: 'Retries allowed, as a share of the requests' },
  { name: 'maximumAttempts', ...between(1, 10), defaultText: '3', unit: 'attempts', description: 'Attempts for one request, the first included' },
  { name: 'connectTimeoutMs', ...between(10, 30_000), defaultText: '1000', unit: 'ms', description: 'Time-out of a connection to a backend server' },
  { name: 'answerIdleTimeoutMs', ...between(50, 600_000), defaultText: '30000', unit: 'ms', description: 'Longest silence of a backend server within an answer' },
  { name: 'shutdownGraceMs', ...between(0, 3_600_000), defaultText: '600000', unit: 'ms', description: 'Longest wait for requests in flight after SIGTERM' },
  { name: 'shutdownDelayMs', ...between(0, 600_000), defaultText: '5000', unit: 'ms', description: 'How long requests are still taken after SIGTERM, while the balancer notices that the router is not ready' },
  { name: 'claimShards', ...between(1, 256), defaultText: '8', unit: 'shards', description: 'Claim logs in the platform; alike on all routers, fixed for the life of the fleet' },
  { name: 'claimFlushIntervalMs', ...between(1, 5_000), defaultText: '40', unit: 'ms', description: 'Time over which claims are gathered into one write' },
  { name: 'claimRetentionMs', ...between(60_000, 2_592_000_000), defaultText: '86400000', unit: 'ms', description: 'How long an idempotency key is remembered' },
  { name: 'maximumAnswerBytes', ...between(0, 900_000), defaultText: '65536', unit: 'bytes', description: 'Largest answer that is kept for a repeat of an idempotency key' },
  { name: 'logLevel', schema: z.enum(logLevels, `must be one of ${logLevels.join(', ')}`), defaultText: 'info', unit: 'level', range: logLevels.join(', '), description: 'Least severe level that is logged' }
]
