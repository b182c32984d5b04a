/**
 * Holds the configuration in force on a gateway node, and when it was last
 * confirmed to be the newest. It is read from its source at an interval and also
 * received from peers. The version never decreases, and the configuration stays
 * in force during an outage of the source.
 */
import { createConfigurationHistory } from './_lib/createConfigurationHistory.js'
import { containStep } from '../_lib/containStep.js'
import type { ThrownReport } from '../_lib/containStep.js'
import { containDecoding, containRead } from '../_lib/containRead.js'
import type { SourceContact } from '../_lib/createSourceContact.js'
import { describeSourceError } from '../../decisions/describeSourceError/index.js'
import { isConnectionSuspect } from '../../decisions/isConnectionSuspect/index.js'
import { planSourceRead } from '../../decisions/planSourceRead/index.js'
import type { SourceReadPlan } from '../../decisions/planSourceRead/index.js'
import { unpackRecords } from './_lib/packRecords.js'
import { measureAge } from '../../decisions/measureAge/index.js'
import { patchRecords } from '../../decisions/patchRecords/index.js'
import { readClocks } from '../../decisions/readClocks/index.js'
import type { Clocks, ClockReading } from '../../decisions/measureAge/index.js'
import { failure } from '../../kernel/index.js'
import type { RunningService } from '../../kernel/index.js'
import type {
  Clock, ConfigurationUpdate, ConfigurationSource, GatewayConfiguration, GatewayConfigurationHolder, Logger, Result, SourcedConfiguration, SourceError, Timer
} from '../../types/index.js'

export type GatewayConfigurationDependencies = {
  readonly clock: Clock
  readonly source: ConfigurationSource
  readonly logger: Logger
  readonly clocks: Clocks
}

export type GatewayConfigurationOptions = {
  /** Time between two reads of the source, in milliseconds. */
  readonly readIntervalMs: number
  /** Whether this node reads the source for its zone; the others rely on it. Every node does by default. */
  readonly isReader?: () => boolean
  /** A node that relies on readers reads the source itself once its last confirmation is older than this, in milliseconds. */
  readonly relianceMs?: number
  /** This node's contact with the source, to which its reads and those of its peers are added. */
  readonly contact?: SourceContact
  /** Called for each read, and each decoding of a peer's update, that throws; it counts as failed. */
  readonly onThrown?: ThrownReport
}

export type RunningGatewayConfiguration = RunningService<GatewayConfigurationHolder> & {
  /** Applies a peer's reply to a request that was sent at `requestedAt`; the peer's age is at most `ageMs` plus the time since then. */
  readonly applyPeerUpdate: (requestedAt: ClockReading, ageMs: number, version: number, update: ConfigurationUpdate | undefined) => void
  /** Revision of the source's write that the configuration in force came from; 0 before the first. */
  readonly revision: () => number
  /** Returns the update that brings a peer with an older version to the version in force on this node. */
  readonly createPeerUpdate: (version: number, revision: number) => ConfigurationUpdate | undefined
  /** Reports that a peer has the given version. */
  readonly recordPeerVersion: (version: number) => void
  /** Registers a listener that is called when the source cannot confirm the configuration, or a peer has a newer version. */
  readonly onPeersNeeded: (listener: () => void) => void
  /** Whether the last read of the source succeeded. */
  readonly isSourceReachable: () => boolean
}

type Confirmation = { readonly at: ClockReading, readonly ageMs: number }

/** Pause after a failed read. Short, because requests with keys are refused soon after confirmations stop. */
const RETRY_MS = 250
/** The source counts as unreachable for this long after a failed read; the next scheduled read falls within this time. */
const UNREACHABLE_AFTER_FAILURE_MS = 2_500

/**
 * Creates the holder of the configuration in force.
 *
 * @param dependencies - Clocks, the source and the log.
 * @param options - Intervals in milliseconds.
 * @returns The service; it reads the source from its start to its stop.
 *
 * @example
 * const holder = createGatewayConfiguration(dependencies, { readIntervalMs: 800 })
 * holder.api.version() // => 0
 */
export const createGatewayConfiguration = (dependencies: GatewayConfigurationDependencies, options: GatewayConfigurationOptions): RunningGatewayConfiguration => {
  const { clock, source, logger, clocks } = dependencies
  const listeners: ((configuration: GatewayConfiguration) => void)[] = []
  const peersNeededListeners: (() => void)[] = []
  const waiters = new Set<() => void>()
  const history = createConfigurationHistory()
  let sourced: SourcedConfiguration | undefined
  let confirmation: Confirmation | undefined
  let timer: Timer | undefined
  let isReading = false
  let isStopped = false
  /** Undefined before the first response, so that a source that was never reached is logged as well. */
  let isReachable: boolean | undefined
  let highestPeerVersion = 0
  let failedAt = -Infinity
  /** Reads in a row that failed, or had an older version than a peer. */
  let failedReads = 0

  const version = (): number => sourced?.configuration.version ?? 0

  const confirmedAgeMs = (): number =>
    confirmation === undefined ? Infinity : confirmation.ageMs + measureAge(confirmation.at, clocks)

  /**
   * Puts a newer configuration in force, then records its confirmation, then
   * notifies the listeners. A listener that found it unconfirmed would refuse the
   * requests that waited for it. A confirmation recorded first would also cover
   * keys that the new configuration revokes.
   */
  const adopt = (next: SourcedConfiguration, from: string, recordConfirmation: () => void): void => {
    const isNewer = next.configuration.version > version()
    if (isNewer) {
      logger.info('configuration in force', { version: next.configuration.version, before: version(), from, routes: next.configuration.routes.length })
      sourced = next
      history.add(next)
    }
    // Another source may already have supplied a newer version than this one.
    if (next.configuration.version === version()) recordConfirmation()
    if (isNewer) for (const listener of listeners) containStep(() => listener(next.configuration), options.onThrown)
  }

  const confirm = (at: ClockReading, ageMs: number): void => {
    if (ageMs + measureAge(at, clocks) >= confirmedAgeMs()) return
    confirmation = { at, ageMs }
    for (const waiter of [...waiters]) waiter()
  }

  const recordReachability = (reachable: boolean, reason: string): void => {
    if (reachable === isReachable) return
    isReachable = reachable
    if (reachable) logger.info('configuration source reached')
    else logger.warn('configuration source lost', { reason, version: version() })
  }

  const requestFromPeers = (): void => { for (const listener of peersNeededListeners) listener() }

  const read = async (): Promise<void> => {
    if (isReading || isStopped) return
    isReading = true
    timer?.cancel()
    const sentAt = readClocks(clocks)
    const result = await containRead(source.read, () => options.onThrown?.())
    isReading = false
    if (isStopped) return
    let isApplied = false
    containStep(() => { isApplied = applyResult(result, sentAt) }, options.onThrown)
    const isCurrent = isApplied && highestPeerVersion <= version()
    schedule(isCurrent ? options.readIntervalMs : pace(result.ok ? undefined : result.error).retryAfterMs)
    failedReads = isCurrent ? 0 : failedReads + 1
  }

  const applyResult = (result: Result<SourcedConfiguration, SourceError>, sentAt: ClockReading): boolean => {
    if (result.ok) {
      options.contact?.record()
      adopt(result.value, 'source', () => confirm(sentAt, 0))
      recordReachability(true, '')
      return true
    }
    options.contact?.recordFailure(result.error, sentAt.monotonic)
    failedAt = clock.now()
    recordReachability(false, describeSourceError(result.error))
    requestFromPeers()
    return false
  }

  const pace = (error?: SourceError): SourceReadPlan => planSourceRead({
    isReader: options.isReader?.() !== false,
    ageMs: confirmedAgeMs(),
    relianceMs: options.relianceMs ?? 0,
    failedReads,
    isConnectionSuspect: isConnectionSuspect(error),
    readerRetryMs: RETRY_MS
  })

  const schedule = (delayMs: number): void => {
    timer?.cancel()
    timer = clock.setTimer(delayMs, tick)
  }

  const tick = (): void => {
    const { isRelyingOnReaders, recheckAfterMs } = pace()
    if (isRelyingOnReaders) schedule(recheckAfterMs)
    else read()
  }

  const waitForConfirmation = (waitMs: number): Promise<void> => new Promise((resolve) => {
    const finish = (): void => {
      waiters.delete(finish)
      limit.cancel()
      resolve()
    }
    const limit = clock.setTimer(waitMs, finish)
    waiters.add(finish)
  })

  const decodeUpdate = (update: ConfigurationUpdate): Result<SourcedConfiguration, SourceError> => {
    if (update.kind === 'whole') {
      const records = unpackRecords(update.bytes)
      return records.ok ? source.decode(records.value, update.revision) : failure({ kind: 'malformed', message: records.error })
    }
    const base = history.find(update.base)
    const records = base === undefined ? undefined : patchRecords(base.records, update.change)
    if (records === undefined) return failure({ kind: 'malformed', message: `change to revision ${update.revision} does not apply to revision ${update.base}` })
    return source.decode(records, update.revision)
  }

  return {
    api: {
      current: () => sourced?.configuration,
      version,
      confirmedAgeMs,
      confirm: async (waitMs) => {
        const isUnreachable = isReachable === false && clock.now() - failedAt < UNREACHABLE_AFTER_FAILURE_MS
        const confirmed = isUnreachable ? Promise.resolve() : waitForConfirmation(waitMs)
        // While the source is unreachable, only the scheduled reads run; else every waiting request would add a read.
        if (!isUnreachable) read()
        requestFromPeers()
        await confirmed
      },
      onChange: (listener) => { listeners.push(listener) }
    },
    applyPeerUpdate: (requestedAt, ageMs, newestVersion, update) => {
      options.contact?.record(ageMs + measureAge(requestedAt, clocks))
      const recordConfirmation = (): void => confirm(requestedAt, ageMs)
      if (update !== undefined && newestVersion > version()) {
        const decoded = containDecoding(() => decodeUpdate(update), () => options.onThrown?.())
        if (decoded.ok) adopt(decoded.value, 'peer', recordConfirmation)
        else logger.warn('configuration of a peer is malformed', { version: newestVersion, reason: describeSourceError(decoded.error) })
        return
      }
      // A confirmation of an older version by a peer does not apply to this one.
      if (newestVersion === version()) recordConfirmation()
    },
    revision: () => sourced?.revision ?? 0,
    createPeerUpdate: (known, revision) => known < version() ? history.getUpdateFrom(revision) : undefined,
    recordPeerVersion: (known) => {
      if (known <= version()) return
      highestPeerVersion = Math.max(highestPeerVersion, known)
      if (isReachable === true && !pace().isRelyingOnReaders) read()
      else requestFromPeers()
    },
    onPeersNeeded: (listener) => { peersNeededListeners.push(listener) },
    isSourceReachable: () => isReachable === true,
    start: () => { read() },
    stop: () => {
      isStopped = true
      timer?.cancel()
    }
  }
}
