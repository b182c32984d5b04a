/**
 * Recognizes backend servers that end while requests of this node run there, and which
 * prompt parts these requests have. A connection that breaks may have been reset alone:
 * the server has ended only if no connection to it can be opened right after, and nothing
 * arrives from it meanwhile.
 */
import { limitSize } from '../_lib/limitSize.js'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { BackendInstance, Clock, InstanceClient, Logger, Metrics, Timer } from '../../types/index.js'

export type ServerEnd = {
  readonly instance: BackendInstance
  /** Ids of the shared prompt parts that may have ended it: of the requests that this node had there, without answers that were in order so far. */
  readonly parts: readonly string[]
  /** Number of requests that broke. */
  readonly requests: number
  /** Monotonic milliseconds at which the first of their connections broke. */
  readonly endedAt: number
}

export type ServerEnds = {
  /** The connection of a request with a prompt broke that had been sent to the server; `parts` are the shared prompt parts that may have ended it. */
  readonly recordBreak: (instance: BackendInstance, parts: readonly string[]) => void
  /** Bytes arrived from the server, on any exchange. */
  readonly recordBytes: (instance: BackendInstance) => void
  /** No connection to the server could be opened. */
  readonly recordUnreachable: (instance: BackendInstance) => void
  readonly onEnd: (listener: (end: ServerEnd) => void) => void
}

export type ServerEndsDependencies = {
  readonly clock: Clock
  readonly logger: Pick<Logger, 'warn'>
  readonly metrics: Pick<Metrics, 'count'>
  readonly client: Pick<InstanceClient, 'probe'>
  /** Whether the server is expected to run, so that its end is a failure; one that is leaving is not. */
  readonly isExpected: (instance: BackendInstance) => boolean
}

type Break = { readonly instance: BackendInstance, readonly parts: Set<string>, readonly brokenAt: number, requests: number }

/** Within this time the connections of a server that ended break, in milliseconds, on a node with a slow processor too. */
const SETTLE_MS = 30
/** Bytes that arrive this soon after a break may have been sent before the server ended, in milliseconds. */
const IN_TRANSIT_MS = 15
/** Shortest interval between two probes of a server, in milliseconds: one that resets many answers needs no probe for each. */
const PROBE_INTERVAL_MS = 1_000
/** Servers of which this node remembers that they ended, or when they were probed. */
const MAXIMUM_REMEMBERED = 256
const MAXIMUM_LOGGED_PARTS = 32

/**
 * Creates the service.
 *
 * @param dependencies - Clock, log, metrics, a client that probes connections, and which servers are expected to run.
 * @returns The service for the kernel.
 *
 * @example
 * const { api } = createServerEnds({ clock, logger, metrics, client, isExpected })
 * api.onEnd(({ instance, parts }) => console.log(instance.id, parts))
 */
export const createServerEnds = ({ clock, logger, metrics, client, isExpected }: ServerEndsDependencies): RunningService<ServerEnds> => {
  const breaks = new Map<string, Break>()
  const timers = new Map<string, Timer>()
  const probedAt = new Map<string, number>()
  const ended = new Map<string, BackendInstance>()
  const listeners: ((end: ServerEnd) => void)[] = []

  const forget = (key: string): void => {
    breaks.delete(key)
    timers.get(key)?.cancel()
    timers.delete(key)
  }

  const conclude = (key: string, evidence: 'unreachable' | 'probe'): void => {
    const broken = breaks.get(key)
    if (broken === undefined) return
    forget(key)
    const { instance, requests, brokenAt } = broken
    const parts = [...broken.parts]
    ended.set(key, instance)
    limitSize(ended, MAXIMUM_REMEMBERED)
    metrics.count('gateway_server_ends', { service: instance.service })
    logger.warn('backend server ended', { backendServer: instance.id, incarnation: instance.incarnation, service: instance.service, requests, parts: parts.slice(0, MAXIMUM_LOGGED_PARTS).join(' '), countOfParts: parts.length, evidence, brokenMsAgo: Math.round(clock.now() - brokenAt) })
    for (const listen of listeners) listen({ instance, parts, requests, endedAt: brokenAt })
  }

  const probe = async (key: string, { instance }: Break): Promise<void> => {
    probedAt.set(key, clock.now())
    limitSize(probedAt, MAXIMUM_REMEMBERED)
    if (await client.probe(instance)) forget(key)
    else conclude(key, 'probe')
  }

  const check = (key: string): void => {
    timers.delete(key)
    const broken = breaks.get(key)
    if (broken === undefined) return
    const waitMs = (probedAt.get(key) ?? -Infinity) + PROBE_INTERVAL_MS - clock.now()
    if (waitMs > 0) scheduleCheck(key, waitMs)
    else probe(key, broken)
  }

  const scheduleCheck = (key: string, delayMs: number): void => { timers.set(key, clock.setTimer(delayMs, () => check(key))) }

  return {
    api: {
      recordBreak: (instance, parts) => {
        const key = formatInstanceKey(instance)
        if (!ended.has(key) && !isExpected(instance)) return
        const broken = breaks.get(key) ?? { instance, parts: new Set<string>(), brokenAt: clock.now(), requests: 0 }
        for (const part of parts) broken.parts.add(part)
        broken.requests += 1
        if (breaks.has(key)) return
        breaks.set(key, broken)
        scheduleCheck(key, SETTLE_MS)
      },
      recordBytes: (instance) => {
        if (breaks.size === 0) return
        const key = formatInstanceKey(instance)
        const brokenAt = breaks.get(key)?.brokenAt ?? Infinity
        if (clock.now() - brokenAt > IN_TRANSIT_MS) forget(key)
      },
      recordUnreachable: (instance) => {
        if (breaks.size > 0) conclude(formatInstanceKey(instance), 'unreachable')
      },
      onEnd: (listener) => { listeners.push(listener) }
    },
    stop: () => { for (const timer of timers.values()) timer.cancel() }
  }
}
