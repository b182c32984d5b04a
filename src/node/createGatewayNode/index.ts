/**
 * A gateway node: the services that forward whole HTTP requests by host and
 * path, assembled in the kernel. All I/O is handed in, as for a router node.
 */
import { noteStart } from './_lib/noteStart.js'
import { registerGauges } from './_lib/registerGauges.js'
import type { Clocks } from '../../decisions/measureAge/index.js'
import { createKernel, type Kernel } from '../../kernel/index.js'
import { layOutInstances } from '../../decisions/layOutInstances/index.js'
import { createFleetLoad, type FleetLoad } from '../../services/fleetLoad/index.js'
import { createForwarding, type ForwardingBounds } from '../../services/forwarding/index.js'
import { createGatewayConfiguration, type RunningGatewayConfiguration } from '../../services/gatewayConfiguration/index.js'
import { createHeartbeatExchange, type HeartbeatExchange } from '../../services/heartbeatExchange/index.js'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import { createInstanceHealth, type InstanceHealth } from '../../services/instanceHealth/index.js'
import { createInstanceRegistry, type RunningInstanceRegistry } from '../../services/instanceRegistry/index.js'
import { createKnowledgeExchange, type KnowledgeExchange } from '../../services/knowledgeExchange/index.js'
import { createLoadView, type RunningLoadView } from '../../services/loadView/index.js'
import { createMembership, DEFAULT_FAN_OUT } from '../../services/membership/index.js'
import { createPromptDirectory, type PlacesRecoverySources, type PromptDirectory } from '../../services/promptDirectory/index.js'
import type { HeartbeatFanOut } from '../../decisions/selectHeartbeatTargets/index.js'
import type { VmList } from '../../services/vmList/index.js'
import type {
  Clock, ConfigurationSource, EngineMemorySource, Forwarding, GatewayConfigurationHolder, GatewaySettings, InstanceClient, InstanceRegistry, InstanceSource,
  LoadView, Logger, Membership, Metrics, PeerTransport, RandomSource, ServerLayout, StartTimeline
} from '../../types/index.js'

export type GatewayNodeDependencies = {
  readonly settings: GatewaySettings
  /** The settings in force now; those at the start by default. */
  readonly readSettings?: () => GatewaySettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly clocks: Clocks
  readonly transport: PeerTransport
  readonly configurationSource: ConfigurationSource
  readonly instanceSource: InstanceSource
  readonly client: InstanceClient
  readonly engineMemory: EngineMemorySource
  readonly logger: Logger
  readonly metrics: Metrics
  readonly timeline?: StartTimeline
}

export type GatewayServices = {
  readonly heartbeatExchange: HeartbeatExchange
  readonly vmList: VmList
  readonly membership: Membership
  readonly gatewayConfiguration: GatewayConfigurationHolder
  readonly instanceRegistry: InstanceRegistry
  readonly knowledgeExchange: KnowledgeExchange
  readonly fleetLoad: FleetLoad
  readonly loadView: LoadView
  readonly instanceHealth: InstanceHealth
  readonly promptDirectory: PromptDirectory
  readonly forwarding: Forwarding
}

export type GatewayNode = {
  readonly start: () => Promise<void>
  readonly stop: () => Promise<void>
  readonly resolve: Kernel<GatewayServices>['resolve']
  /** Whether it can serve: it has a configuration and a list of backend servers. */
  readonly isAbleToServe: () => boolean
}

/**
 * Time between two reads of the configuration: half of the two seconds in which
 * a new one has to be in force, less a slow read.
 */
const CONFIGURATION_READ_MS = 800
/** One watch's wait: a connection that went silent is found that much later, well before a leaving server's bound. */
const WATCH_WAIT_MS = 2_500
const HEARTBEAT_MS = 500
/** Rumours cross between zones through the fixed watchers; a random peer there would cost a third of the packets. */
const FAN_OUT: HeartbeatFanOut = { ...DEFAULT_FAN_OUT, randomRemotePeers: 0 }
const SUSPECT_AFTER_MS = 1_500
const DEAD_AFTER_MS = 3_000
const LOAD_REPORT_MS = 250
/**
 * Time between two sums of load in a large fleet. At 69 nodes a request lasts about
 * a second and the bound is twice the mean: sums half as often halve the
 * messages of a node that has little else to do.
 */
const LOAD_SUM_MS = 400
/** The seeds of the settings bring nodes together; no list of VMs is read. */
const NO_VM_LIST: VmList = { current: () => undefined, onRead: () => { /* it is never read */ } }
/** Time between two questions of a node to its readers, by turns: both are heard within 1.1 s. */
const READER_ASK_MS = 550
/**
 * How long a node trusts its readers without proof: a read every 0.8 s and a
 * question every 0.55 s leave it 1.4 s old at most, and past two seconds it could
 * not say any more that a route does not exist.
 */
const RELIANCE_MS = 1_500
/** Taken off the time in which a key taken away must go out of use: for clocks that run unequally and a send that is on its way. */
const KEY_MARGIN_MS = 500

const registerPeers = (kernel: Kernel<GatewayServices>, dependencies: GatewayNodeDependencies): void => {
  const { settings, clock, random, transport, logger } = dependencies
  const readSettings = dependencies.readSettings ?? (() => settings)
  kernel.register({ name: 'heartbeatExchange', dependsOn: [], create: () => ({ api: createHeartbeatExchange() }) })
  kernel.register({ name: 'vmList', dependsOn: [], create: () => ({ api: NO_VM_LIST }) })
  kernel.register({
    name: 'membership',
    dependsOn: ['heartbeatExchange', 'vmList'],
    create: (resolve) => createMembership(
      { clock, random, transport, exchange: resolve('heartbeatExchange'), vmList: resolve('vmList'), logger },
      {
        settings: { nodeId: settings.nodeId, availabilityZone: settings.availabilityZone, get seedPeers () { return readSettings().seedPeers }, heartbeatIntervalMs: HEARTBEAT_MS, suspectAfterMs: SUSPECT_AFTER_MS, deadAfterMs: DEAD_AFTER_MS },
        address: () => settings.peerAddress,
        fanOut: FAN_OUT,
        generation: () => kernel.isRunning('gatewayConfiguration') ? kernel.resolve('gatewayConfiguration').version() : 0
      }
    )
  })
}

const registerKnowledge = (kernel: Kernel<GatewayServices>, dependencies: GatewayNodeDependencies): void => {
  const { clock, random, clocks, transport, configurationSource, instanceSource, logger } = dependencies
  let configuration: RunningGatewayConfiguration | undefined
  let registry: RunningInstanceRegistry | undefined
  // Before peers are known a node is the first of its zone, as far as it knows.
  const isReader = (): boolean => !kernel.isRunning('knowledgeExchange') || kernel.resolve('knowledgeExchange').isReader()
  kernel.register({
    name: 'gatewayConfiguration',
    dependsOn: [],
    create: () => {
      configuration = createGatewayConfiguration({ clock, source: configurationSource, logger, clocks }, { readIntervalMs: CONFIGURATION_READ_MS, isReader, relianceMs: RELIANCE_MS })
      return configuration
    }
  })
  kernel.register({
    name: 'instanceRegistry',
    dependsOn: [],
    create: () => {
      registry = createInstanceRegistry({ clock, source: instanceSource, logger }, { watchWaitMs: WATCH_WAIT_MS, isReader, relianceMs: RELIANCE_MS, drainMs: dependencies.settings.serverDrainMs })
      return registry
    }
  })
  kernel.register({
    name: 'knowledgeExchange',
    dependsOn: ['membership', 'heartbeatExchange', 'gatewayConfiguration', 'instanceRegistry'],
    create: (resolve) => {
      if (configuration === undefined || registry === undefined) throw new Error('knowledge is exchanged before its holders were made')
      return createKnowledgeExchange({ clock, random, transport, membership: resolve('membership'), exchange: resolve('heartbeatExchange'), configuration, registry, clocks }, { askIntervalMs: READER_ASK_MS })
    }
  })
}

const toBounds = (settings: GatewaySettings): ForwardingBounds => ({
  loadFactor: settings.loadFactor,
  repeatLimits: { ratio: settings.repeatRatio, extra: settings.repeatExtra, windowMs: settings.repeatWindowMs },
  keyFreshnessMs: settings.keyRevocationMs > 0 ? settings.keyRevocationMs - KEY_MARGIN_MS : Infinity,
  configurationFreshnessMs: settings.configurationDelayMs
})

/** How load travels: digests to all peers while they are few, sums by zone when they are many. */
const registerLoad = (kernel: Kernel<GatewayServices>, { settings, clock, transport }: GatewayNodeDependencies): void => {
  let loadView: RunningLoadView | undefined
  kernel.register({
    name: 'fleetLoad',
    dependsOn: ['membership', 'instanceRegistry'],
    create: (resolve) => {
      const registry = resolve('instanceRegistry')
      let layout: ServerLayout = layOutInstances(registry.all())
      registry.onChange(() => { layout = layOutInstances(registry.all()) })
      return createFleetLoad(
        { clock, transport, membership: resolve('membership'), readLayout: () => layout, readCounts: () => loadView?.publishedCounts() ?? new Map() },
        { fullMeshPeers: DEFAULT_FAN_OUT.fullMeshPeers, periodMs: LOAD_SUM_MS }
      )
    }
  })
  kernel.register({
    name: 'loadView',
    dependsOn: ['membership', 'heartbeatExchange', 'fleetLoad'],
    create: (resolve) => {
      loadView = createLoadView(
        { clock, transport, membership: resolve('membership'), exchange: resolve('heartbeatExchange'), fleetLoad: resolve('fleetLoad') },
        { settings: { nodeId: settings.nodeId, loadReportIntervalMs: LOAD_REPORT_MS, deadAfterMs: DEAD_AFTER_MS } }
      )
      return loadView
    }
  })
}

/** How to learn after a start what engines keep: which services have engines stands in the configuration, which engines there are in the list. */
const createPlacesRecoverySources = ({ settings, random, logger, engineMemory }: GatewayNodeDependencies, resolve: Kernel<GatewayServices>['resolve']): PlacesRecoverySources => {
  const configuration = resolve('gatewayConfiguration')
  const registry = resolve('instanceRegistry')
  return {
    logger,
    random,
    registry,
    memory: engineMemory,
    availabilityZone: settings.availabilityZone,
    isEngine: ({ service }) => configuration.current()?.services.get(service)?.isEngine === true,
    areEnginesKnown: () => configuration.current() !== undefined && registry.isKnown(),
    onKnown: (listener) => {
      configuration.onChange(listener)
      registry.onChange(listener)
    }
  }
}

const registerForwarding = (kernel: Kernel<GatewayServices>, dependencies: GatewayNodeDependencies): void => {
  const readSettings = dependencies.readSettings ?? (() => dependencies.settings)
  const { settings, clock, random, transport, client, logger, metrics } = dependencies
  kernel.register({
    name: 'instanceHealth',
    dependsOn: ['instanceRegistry'],
    create: (resolve) => {
      const health = createInstanceHealth({ clock, logger, client })
      const registry = resolve('instanceRegistry')
      registry.onChange(() => {
        const live = new Set([...registry.all(), ...registry.removedLately()].map(formatInstanceKey))
        health.api.retain(live)
        client.retain(live)
      })
      return health
    }
  })
  kernel.register({
    name: 'promptDirectory',
    dependsOn: ['membership', 'instanceRegistry', 'gatewayConfiguration'],
    create: (resolve) => {
      const recovery = settings.isFirstStart ? {} : { recovery: createPlacesRecoverySources(dependencies, resolve) }
      return createPromptDirectory({ clock, transport, membership: resolve('membership'), ...recovery })
    }
  })
  kernel.register({
    name: 'forwarding',
    dependsOn: ['gatewayConfiguration', 'instanceRegistry', 'instanceHealth', 'promptDirectory', 'loadView', 'membership'],
    create: (resolve) => createForwarding({
      clock,
      random,
      logger,
      metrics,
      client,
      configuration: resolve('gatewayConfiguration'),
      registry: resolve('instanceRegistry'),
      health: resolve('instanceHealth'),
      directory: resolve('promptDirectory'),
      loadView: resolve('loadView'),
      membership: resolve('membership')
    }, {
      availabilityZone: settings.availabilityZone,
      readBounds: () => toBounds(readSettings())
    })
  })
}

/**
 * Creates a gateway node.
 *
 * @param dependencies - Settings, clocks, sources, peers, the client to backend servers and the log.
 * @returns The node, not yet started.
 *
 * @example
 * const node = createGatewayNode(dependencies)
 * await node.start()
 * node.resolve('forwarding').begin(request, sink)
 */
export const createGatewayNode = (dependencies: GatewayNodeDependencies): GatewayNode => {
  const kernel = createKernel<GatewayServices>()
  registerPeers(kernel, dependencies)
  registerKnowledge(kernel, dependencies)
  registerLoad(kernel, dependencies)
  registerForwarding(kernel, dependencies)
  return {
    start: async () => {
      await kernel.start()
      if (dependencies.timeline !== undefined) noteStart(dependencies.timeline, kernel.resolve)
      registerGauges(dependencies.metrics, kernel.resolve)
    },
    stop: kernel.stop,
    resolve: kernel.resolve,
    isAbleToServe: () => kernel.resolve('gatewayConfiguration').current() !== undefined && kernel.resolve('instanceRegistry').isKnown()
  }
}
