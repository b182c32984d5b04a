/**
 * Starts a gateway node with its real listeners. The parts that depend on the
 * platform are passed in: the sources of configuration and backend servers, and
 * the dialect, which decodes and encodes the wire formats.
 */
import { getHeapStatistics } from 'node:v8'
import { createBoundedLogger } from '../../adapters/boundedLogger/index.js'
import { createContainedErrorReporter } from '../../adapters/containedEvents/index.js'
import { createDeferredMetrics } from '../../adapters/deferredMetrics/index.js'
import { createGatewayHttp, type GatewayHttp } from '../../adapters/gatewayHttp/index.js'
import type { HandoverListener } from '../../adapters/handoverListener/index.js'
import { createInstanceHttp } from '../../adapters/instanceHttp/index.js'
import { createPeerTcp } from '../../adapters/peerTcp/index.js'
import { createProbeHttp } from '../../adapters/probeHttp/index.js'
import type { ProbeAnswer } from '../../adapters/probeHttp/index.js'
import { createRelayDialect, createRelayHttp, relayHeaders } from '../../adapters/relayHttp/index.js'
import { createStartTimeline } from '../../adapters/startTimeline/index.js'
import { createReadWatch } from '../../adapters/readWatch/index.js'
import { createSystemClock } from '../../adapters/systemClock/index.js'
import { createSystemClocks } from '../../adapters/systemClocks/index.js'
import { createSystemRandom } from '../../adapters/systemRandom/index.js'
import { createExceptionHandler, type UnexpectedException } from './_lib/createExceptionHandler.js'
import { openRelayListener } from './_lib/openRelayListener.js'
import { shutDownGateway } from './_lib/shutDownGateway.js'
import { computeLoadDelay } from '../../decisions/computeLoadDelay/index.js'
import { createGatewayNode } from '../../node/createGatewayNode/index.js'
import { startMemoryWatch } from '../../services/memoryWatch/index.js'
import type { Clock, ConfigurationSource, PromptCacheSource, GatewayDialect, GatewayLimits, GatewaySettings, InstanceSource, Logger, PeerAddress, QuarantineStore, RouteTargetStore, StartTimeline, StreamBeginStore, VersionStore, ZoneDrainSource } from '../../types/index.js'

export type GatewayOptions = {
  readonly settings: GatewaySettings
  readonly logger: Logger
  /** The listener for callers, if it was opened before the program was loaded. */
  readonly handoverListener?: HandoverListener | undefined
  /** Records the steps of the start, which are written to the log. */
  readonly timeline?: StartTimeline
  readonly dialect: GatewayDialect
  readonly configurationSource: ConfigurationSource
  readonly instanceSource: InstanceSource
  /** Omitted where operators never drain zones. */
  readonly zoneDrainSource?: ZoneDrainSource | undefined
  /** Omitted where the platform stores no quarantined prompt parts. */
  readonly quarantineStore?: QuarantineStore | undefined
  /** Omitted where the platform keeps no register of software versions. */
  readonly versionStore?: VersionStore | undefined
  /** Omitted where the platform keeps no register of routes. */
  readonly routeTargetStore?: RouteTargetStore | undefined
  /** Omitted where the platform keeps no records of streams. */
  readonly streamBeginStore?: StreamBeginStore | undefined
  readonly promptCacheSource: PromptCacheSource
  readonly readinessPath: string
  /** Called when an exception that nothing caught makes a stop in order advisable. */
  readonly onStopDue?: () => void
  /** Gets what takes the exceptions that nothing has caught, once there is a node that can go on. */
  readonly onExceptionHandler?: (handle: (exception: UnexpectedException) => void) => void
  /** Returns where this node reaches the address of a backend server; that address itself by default. */
  readonly resolveAddress?: (address: PeerAddress) => PeerAddress
}

export type Gateway = {
  readonly callerAddress: PeerAddress
  readonly readinessAddress: PeerAddress
  readonly peerAddress: PeerAddress
  /** Resolves once the gateway can serve requests. */
  readonly whenReadyToServe: () => Promise<void>
  /** Applies the settings that may change at run time: seeds, grace period, and the bounds on load, retries, and the age of keys and configuration. Addresses stay. */
  readonly applySettings: (settings: GatewaySettings) => void
  readonly openRequests: () => number
  /** Closes everything at once, as if the process had crashed. */
  readonly kill: () => Promise<void>
  /**
   * Fails the readiness check but continues to serve; resolves once nothing is open or the grace
   * period is nearly over, which began at `requestedAt` (monotonic milliseconds), now by default.
   */
  readonly stop: (requestedAt?: number) => Promise<void>
}

/** Delay after which the metrics library is loaded on a whole core; by then a node has answered the callers that waited for its start. */
const METRICS_LOAD_DELAY_MS = 700
/** Path at which the operators' metrics scrapers read. */
const METRICS_PATH = '/metrics'
const MAXIMUM_FRAME_BYTES = 8 * 1024 * 1024
/** Delay of acknowledgements between nodes, well below the three seconds after which a connection counts as stalled. */
const ACKNOWLEDGE_DELAY_MS = 1_200
const POLL_INTERVAL_MS = 50
const MILLISECONDS_PER_SECOND = 1_000
const BYTES_PER_MEGABYTE = 1_048_576
/** The timeline of a start is logged this long after the listeners are open; by then a first request has usually been served. */
const TIMELINE_DELAY_MS = 5_000

/** Bytes of headers with which a peer describes a request that it relays, beyond what its caller may send. */
const RELAY_HEADER_BYTES = 4_096

const addRelayAllowance = (limits: GatewayLimits | undefined): GatewayLimits | undefined =>
  limits === undefined ? undefined : { ...limits, maximumHeaderBytes: limits.maximumHeaderBytes + RELAY_HEADER_BYTES }

const wait = (clock: Clock, milliseconds: number): Promise<void> => new Promise((resolve) => { clock.setTimer(milliseconds, resolve) })

/**
 * Starts a gateway.
 *
 * @param options - Validated settings, the logger, and the parts that depend on the platform.
 * @returns The running gateway.
 *
 * @example
 * const gateway = await startGateway(options)
 * process.once('SIGTERM', () => gateway.stop())
 */
export const startGateway = async (options: GatewayOptions): Promise<Gateway> => {
  const { settings, dialect } = options
  const timeline = options.timeline ?? createStartTimeline()
  let currentSettings = settings
  const clock = createSystemClock()
  const random = createSystemRandom()
  const metrics = createDeferredMetrics({
    load: async () => (await import('../../adapters/promMetrics/index.js')).createPromMetrics(),
    delayMs: computeLoadDelay(METRICS_LOAD_DELAY_MS, settings.millicores),
    clock,
    onFailure: (error) => options.logger.error('metrics failed to load', { reason: String(error) })
  })
  const logger = createBoundedLogger({ clock, logger: options.logger, metrics })
  const reportError = createContainedErrorReporter({ logger, metrics })
  const reads = createReadWatch(clock)
  const transport = createPeerTcp({
    reportError,
    host: settings.peerAddress.host,
    port: settings.peerAddress.port,
    fleetKey: settings.fleetKey,
    maximumFrameBytes: MAXIMUM_FRAME_BYTES,
    acknowledgeDelayMs: ACKNOWLEDGE_DELAY_MS,
    clock,
    random,
    logger,
    onHandlerError: () => metrics.count('contained_errors', { part: 'peerMessage' })
  })
  const peerAddress = await transport.listen()
  // Opened before the node starts, as its heartbeats tell peers the port.
  const relayListener = settings.relayAddress === undefined ? undefined : await openRelayListener(settings.relayAddress, settings.lastRelayPort, logger)
  const relayAddress = await relayListener?.opened
  const client = createInstanceHttp({ clock, dialect, reportError, uploadLogger: settings.controlsAdmission === true ? logger : undefined, ...(options.resolveAddress === undefined ? {} : { resolveAddress: options.resolveAddress }) })
  const node = createGatewayNode({
    settings: { ...settings, peerAddress, relayAddress },
    readSettings: () => currentSettings,
    clock,
    random,
    clocks: createSystemClocks(),
    transport,
    configurationSource: options.configurationSource,
    instanceSource: options.instanceSource,
    ...(options.zoneDrainSource === undefined ? {} : { zoneDrainSource: options.zoneDrainSource }),
    ...(options.quarantineStore === undefined ? {} : { quarantineStore: options.quarantineStore }),
    ...(options.versionStore === undefined ? {} : { versionStore: options.versionStore }),
    ...(options.routeTargetStore === undefined ? {} : { routeTargetStore: options.routeTargetStore }),
    ...(options.streamBeginStore === undefined ? {} : { streamBeginStore: options.streamBeginStore }),
    promptCacheSource: options.promptCacheSource,
    client,
    relayClient: createRelayHttp({ clock, dialect, fleetKey: settings.fleetKey, reportError }),
    logger,
    metrics,
    timeline
  })
  let isShuttingDown = false
  let isStarted = false
  // Peers are served during the start, callers before its end.
  options.onExceptionHandler?.(createExceptionHandler({
    clock,
    random,
    logger,
    metrics,
    readOpen: () => isStarted ? node.resolve('forwarding').openRequests() : 0,
    readConfirmedAgeMs: () => isStarted ? node.resolve('gatewayConfiguration').confirmedAgeMs() : Infinity,
    onStopDue: () => { if (!isShuttingDown) options.onStopDue?.() }
  }))
  await node.start()
  isStarted = true
  const configuration = node.resolve('gatewayConfiguration')
  const readLimits = (): GatewayLimits | undefined => configuration.current()?.limits
  const gatewayHttp = createGatewayHttp({
    host: settings.callerAddress.host,
    port: settings.callerAddress.port,
    handoverListener: options.handoverListener,
    clock,
    logger,
    metrics,
    dialect,
    forwarding: node.resolve('forwarding'),
    heldBytes: node.resolve('heldBytes'),
    reads,
    timeline,
    readLimits
  })
  const relayHttp = relayListener === undefined
    ? undefined
    : createGatewayHttp({
      host: settings.callerAddress.host,
      port: 0,
      handoverListener: relayListener,
      clock,
      logger,
      metrics,
      dialect: createRelayDialect(dialect, settings.fleetKey),
      forwarding: node.resolve('forwarding'),
      heldBytes: node.resolve('heldBytes'),
      reads,
      relayHeaders,
      readLimits: () => addRelayAllowance(readLimits())
    })
  const listeners: readonly GatewayHttp[] = relayHttp === undefined ? [gatewayHttp] : [gatewayHttp, relayHttp]
  const answerReadiness = (): ProbeAnswer => {
    if (isShuttingDown || !gatewayHttp.isListening() || !node.canServe()) return { status: 503, body: 'not ready' }
    timeline.mark('ready')
    return { status: 200, body: 'ready' }
  }
  const answerScrape = async (): Promise<ProbeAnswer> => {
    const opened = await metrics.open()
    return { status: 200, body: await opened.render(), contentType: opened.contentType }
  }
  const readiness = createProbeHttp(settings.readinessAddress, { [options.readinessPath]: answerReadiness }, { part: 'readiness', logger, reportError })
  const metricsHttp = settings.metricsAddress === undefined
    ? undefined
    : createProbeHttp(settings.metricsAddress, { [METRICS_PATH]: answerScrape }, { part: 'metrics', logger, reportError })
  const callerAddress = await gatewayHttp.listen()
  await relayHttp?.listen()
  timeline.mark('listening')
  const readinessAddress = await readiness.listen()
  const metricsAddress = await metricsHttp?.listen()
  logger.info('gateway started', { zone: settings.availabilityZone, callerPort: callerAddress.port, readinessPort: readinessAddress.port, peerPort: peerAddress.port, metricsPort: metricsAddress?.port, isFirstStart: settings.isFirstStart, startMs: Math.round(process.uptime() * MILLISECONDS_PER_SECOND) })
  const memoryWatch = startMemoryWatch({
    clock,
    logger,
    readUse: () => {
      const { used_heap_size: heapBytes, heap_size_limit: heapLimitBytes } = getHeapStatistics()
      return { heapBytes, heapLimitBytes, residentBytes: process.memoryUsage.rss(), residentLimitBytes: settings.memoryMb === undefined ? undefined : settings.memoryMb * BYTES_PER_MEGABYTE }
    },
    describeContents: () => ({
      ...node.resolve('heldBytes').countBytes(),
      unsentBody: client.countUploadBytes?.().unsent ?? 0,
      openRequests: node.resolve('forwarding').openRequests(),
      openConnections: listeners.reduce((sum, listener) => sum + listener.openConnections(), 0),
      bufferBytes: process.memoryUsage().arrayBuffers
    })
  })
  clock.setTimer(TIMELINE_DELAY_MS, () => logger.info('start timeline', timeline.fields()))

  const end = async (): Promise<void> => {
    memoryWatch.stop()
    reads.stop()
    for (const listener of listeners) listener.close()
    readiness.close()
    metricsHttp?.close()
    await node.stop()
    client.close()
    await transport.close()
  }

  const whenReadyToServe = async (): Promise<void> => {
    while (!gatewayHttp.isListening() || !node.canServe()) await wait(clock, POLL_INTERVAL_MS)
  }

  const shutDown = async (requestedAt: number): Promise<void> => {
    isShuttingDown = true
    await shutDownGateway({
      clock,
      logger,
      forwarding: node.resolve('forwarding'),
      announceLeaving: node.resolve('membership').announceLeaving,
      listeners,
      graceMs: currentSettings.graceMs,
      requestedAt
    })
    await end()
  }

  const { openRequests } = node.resolve('forwarding')
  let ongoingShutdown: Promise<void> | undefined
  return {
    callerAddress,
    readinessAddress,
    peerAddress,
    whenReadyToServe,
    applySettings: (next) => { currentSettings = next },
    openRequests,
    kill: end,
    stop: (requestedAt = clock.now()) => {
      ongoingShutdown ??= shutDown(requestedAt)
      return ongoingShutdown
    }
  }
}
