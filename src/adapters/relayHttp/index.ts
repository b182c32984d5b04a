/**
 * Carries requests between two nodes over HTTP/1.1: from a node that does not reach the
 * backend servers to a peer that does, and the answer back. A request crosses the hop in the
 * caller's own format, with headers that prove the fleet key and tell what was tried before.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import type { ContainedErrorReporter } from '../containedEvents/index.js'
import { createExchangeHttp } from '../exchangeHttp/index.js'
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

/** Statuses with which a gateway refuses only requests that were not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([400, 401, 404, 408, 413, 421, 429, 431, 503])

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

export const relayHeaders: RelayHeaders = {
  refusal: ({ reason }) => [HEADER.refusal, reason],
  servedBy: ({ servedBy, servedByVersion }) => [
    ...(servedBy === undefined ? [] : [HEADER.servedBy, encodeURIComponent(servedBy)]),
    ...encodeVersion(servedByVersion)
  ]
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

const decodeRelayedAnswer = (dialect: Pick<GatewayDialect, 'decodeAnswer'>, status: number, headers: HeaderList): InstanceAnswer => {
  const answer = dialect.decodeAnswer(status, headers.filter(([name]) => !isOwn(name)))
  const refusal = find(headers, HEADER.refusal)
  const servedBy = find(headers, HEADER.servedBy)
  if (refusal !== undefined) return { ...answer, relayRefusal: refusal as FinalReason, isNotRun: NOT_RUN_STATUSES.has(status) }
  return servedBy === undefined ? answer : { ...answer, servedBy: decodeURIComponent(servedBy), servedByVersion: decodeVersion(headers) }
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
