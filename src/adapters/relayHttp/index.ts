/**
 * Carries requests between two nodes over HTTP/1.1: from a node that does not reach the
 * backend servers to a peer that does, and the answer back. A request crosses the hop in the
 * caller's own format, with headers that prove the fleet key and tell what was tried before.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import type { ContainedErrorReporter } from '../containedEvents/index.js'
import { createExchangeHttp } from '../exchangeHttp/index.js'
import { promisesNotRun } from '../../decisions/selectFinalStatus/index.js'
import { failure, success } from '../../kernel/index.js'
import type { Clock, FinalReason, GatewayDialect, GatewayRefusal, HeaderList, InstanceAnswer, RelayClient, RelayOrigin } from '../../types/index.js'

const HEADER = {
  proof: 'dotterelspoke-relay-proof',
  node: 'dotterelspoke-relay-node',
  service: 'dotterelspoke-relay-service',
  /** Ids of backend servers, each URI-encoded. */
  tried: 'dotterelspoke-relay-tried',
  /** Reason of a refusal that the peer created itself. */
  refusal: 'dotterelspoke-relay-refusal',
  /** Id of the backend server that gave the answer. */
  servedBy: 'dotterelspoke-relay-served-by',
  /** URI-encoded software version: in a request the one at which the stream must go on, in an answer that of the server. */
  softwareVersion: 'dotterelspoke-relay-software-version'
} as const

const OWN_HEADERS: ReadonlySet<string> = new Set(Object.values(HEADER))

/** Statuses with which a gateway refuses a request for what it is: it was not run. */
const REQUEST_ERROR_STATUSES: ReadonlySet<number> = new Set([400, 401, 404, 413, 431])

/** Whether a refusal of a gateway with this status proves that the request was not run. */
const provesNotRun = (status: number): boolean => promisesNotRun(status) || REQUEST_ERROR_STATUSES.has(status)

/** A peer that does not accept a connection within this time in milliseconds is not waited for: another one may. */
const CONNECT_TIMEOUT_MS = 200

const UNTRUSTED: GatewayRefusal = { status: 400, reason: 'badRequest' }

const createProof = (fleetKey: string): string => createHmac('sha256', fleetKey).update('dotterelspoke relay').digest('hex')

const isEqual = (one: string, other: string): boolean => one.length === other.length && timingSafeEqual(Buffer.from(one), Buffer.from(other))

const isOwn = (name: string): boolean => OWN_HEADERS.has(name.toLowerCase())

const find = (headers: HeaderList, name: string): string | undefined => headers.find(([key]) => key.toLowerCase() === name)?.[1]

const encodeIds = (ids: readonly string[]): string => ids.map(encodeURIComponent).join(',')

const decodeIds = (text: string | undefined): readonly string[] => text === undefined || text === '' ? [] : text.split(',').map(decodeURIComponent)

const encodeVersion = (softwareVersion: string | undefined): readonly string[] =>
  softwareVersion === undefined ? [] : [HEADER.softwareVersion, encodeURIComponent(softwareVersion)]

const decodeVersion = (headers: HeaderList): string | undefined => {
  const text = find(headers, HEADER.softwareVersion)
  return text === undefined ? undefined : decodeURIComponent(text)
}

/** Headers that a gateway adds to its answers to a peer. */
export type RelayHeaders = {
  readonly refusal: (refusal: GatewayRefusal) => readonly string[]
  readonly servedBy: (answer: Pick<InstanceAnswer, 'servedBy' | 'servedByVersion'>) => readonly string[]
}

const encodeServer: RelayHeaders['servedBy'] = ({ servedBy, servedByVersion }) => [
  ...(servedBy === undefined ? [] : [HEADER.servedBy, encodeURIComponent(servedBy)]),
  ...encodeVersion(servedByVersion)
]

const decodeServer = (headers: HeaderList): Pick<InstanceAnswer, 'servedBy' | 'servedByVersion'> => {
  const servedBy = find(headers, HEADER.servedBy)
  return servedBy === undefined ? {} : { servedBy: decodeURIComponent(servedBy), servedByVersion: decodeVersion(headers) }
}

export const relayHeaders: RelayHeaders = {
  refusal: (refusal) => [HEADER.refusal, refusal.reason, ...encodeServer(refusal)],
  servedBy: encodeServer
}

/**
 * Creates the decoder for the listener of a node that takes requests of peers.
 *
 * @param dialect - Decodes requests of callers.
 * @param fleetKey - Key that the peers prove to have.
 * @returns A decoder that sets the request's `relay`, and refuses requests of others.
 *
 * @example
 * createRelayDialect(dialect, 'key').decodeRequest(raw).ok // => false without a proof
 */
export const createRelayDialect = (dialect: Pick<GatewayDialect, 'decodeRequest'>, fleetKey: string): Pick<GatewayDialect, 'decodeRequest'> => {
  const proof = createProof(fleetKey)

  const readOrigin = (headers: HeaderList): RelayOrigin | undefined => {
    if (!isEqual(find(headers, HEADER.proof) ?? '', proof)) return undefined
    try {
      const softwareVersion = decodeVersion(headers)
      return {
        nodeId: find(headers, HEADER.node) ?? '',
        service: find(headers, HEADER.service) ?? '',
        tried: decodeIds(find(headers, HEADER.tried)),
        ...(softwareVersion === undefined ? {} : { softwareVersion })
      }
    } catch {
      // Malformed escapes: not from a peer.
      return undefined
    }
  }

  return {
    decodeRequest: (raw) => {
      const relay = readOrigin(raw.headers)
      if (relay === undefined) return failure(UNTRUSTED)
      const decoded = dialect.decodeRequest({ ...raw, headers: raw.headers.filter(([name]) => !isOwn(name)) })
      return decoded.ok ? success({ ...decoded.value, relay }) : decoded
    }
  }
}

/** Only a refusal of the peer itself proves that nothing ran: the words of backend servers were for the peer, which has acted on them. */
const decodeRelayedAnswer = (dialect: Pick<GatewayDialect, 'decodeAnswer'>, status: number, headers: HeaderList): InstanceAnswer => {
  const answer = dialect.decodeAnswer(status, headers.filter(([name]) => !isOwn(name)))
  const refusal = find(headers, HEADER.refusal)
  const decoded = { ...answer, ...decodeServer(headers), isOtherInstance: false }
  return refusal === undefined ? { ...decoded, isNotRun: false } : { ...decoded, relayRefusal: refusal as FinalReason, isNotRun: provesNotRun(status) }
}

export type RelayHttpOptions = {
  readonly clock: Clock
  readonly dialect: Pick<GatewayDialect, 'encodeRequest' | 'decodeAnswer'>
  readonly fleetKey: string
  readonly reportError?: ContainedErrorReporter | undefined
}

/**
 * Creates the client of a node that sends requests through peers.
 *
 * @param options - Clock, dialect and the fleet key.
 * @returns The client; connections are opened as needed.
 *
 * @example
 * createRelayHttp({ clock, dialect, fleetKey }).send(attempt, listener).abort()
 */
export const createRelayHttp = ({ clock, dialect, fleetKey, reportError }: RelayHttpOptions): RelayClient => {
  const proof = createProof(fleetKey)
  const exchanges = createExchangeHttp({ clock, reportError, connectTimeoutMs: CONNECT_TIMEOUT_MS, decodeAnswer: (status, headers) => decodeRelayedAnswer(dialect, status, headers) })
  return {
    send: (attempt, listener) => {
      const { request, peer, origin, body } = attempt
      return exchanges.send({
        key: peer.nodeId,
        address: peer.address,
        method: request.method,
        target: request.target,
        headers: [...dialect.encodeRequest(attempt), HEADER.proof, proof, HEADER.node, origin.nodeId, HEADER.service, origin.service, HEADER.tried, encodeIds(origin.tried), ...encodeVersion(origin.softwareVersion)],
        body
      }, listener)
    },
    retain: exchanges.retain,
    close: exchanges.close
  }
}
