/** Registers the state read from sources: configuration, backend servers and zone drains, read by a few nodes and forwarded to the others. */
import { createThrownReport } from './createThrownReport.js'
import { computeWatchWait } from '../../../decisions/computeWatchWait/index.js'
import { createGatewayConfiguration, type RunningGatewayConfiguration } from '../../../services/gatewayConfiguration/index.js'
import { createInstanceRegistry, type RunningInstanceRegistry } from '../../../services/instanceRegistry/index.js'
import { createKnowledgeExchange } from '../../../services/knowledgeExchange/index.js'
import { createRouteRegister } from '../../../services/routeRegister/index.js'
import { createVersionRegister } from '../../../services/versionRegister/index.js'
import { createZoneDrains, type RunningZoneDrains } from '../../../services/zoneDrains/index.js'
import { createSourceContact } from '../../../services/_lib/createSourceContact.js'
import type { Kernel } from '../../../kernel/index.js'
import type { ZoneDrains } from '../../../types/index.js'
import type { GatewayNodeDependencies, GatewayServices } from '../index.js'

/**
 * Time between two reads of the configuration: half of the two seconds within which
 * a new one must be in force, less the time of a slow read.
 */
const CONFIGURATION_READ_INTERVAL_MS = 800
/** Time between two queries of a node to its two readers in turn; each is queried every 1.1 s. */
const READER_QUERY_INTERVAL_MS = 550
/**
 * How long a node relies on its readers without a new confirmation. A read every
 * 0.8 s and a query every 0.55 s keep its age within 1.4 s. At an age above two
 * seconds the node could no longer answer that a route does not exist.
 */
const MAXIMUM_RELIANCE_MS = 1_500

/** Entries expire after three missed heartbeats, the first of which may be due up to one interval before an outage: two intervals without an answer can expire them. */
const EXPIRY_INTERVALS = 2

/** Used in deployments without zone drains. */
const NO_ZONE_DRAINS: ZoneDrains = { isDrained: () => false, endedAgoMs: () => Infinity, revision: () => 0, isKnown: () => true, onChange: () => { /* nothing changes */ } }

/** Registers the services for configuration, backend servers and zone drains, and their exchange with peers. */
export const registerSources = (kernel: Kernel<GatewayServices>, dependencies: GatewayNodeDependencies): void => {
  const { clock, random, clocks, transport, configurationSource, instanceSource, zoneDrainSource, settings, logger } = dependencies
  let configuration: RunningGatewayConfiguration | undefined
  let registry: RunningInstanceRegistry | undefined
  let zoneDrains: RunningZoneDrains | undefined
  // Until it knows peers, a node must act as the reader of its zone.
  const isReader = (): boolean => !kernel.isRunning('knowledgeExchange') || kernel.resolve('knowledgeExchange').isReader()
  const onThrown = createThrownReport(dependencies, 'read')
  const watchWaitMs = computeWatchWait(dependencies.settings.reconnectMs)
  const contact = createSourceContact({ clock, logger, readSuspendedMs: () => clocks.boot() - clocks.monotonic() }, { minimumOutageMs: EXPIRY_INTERVALS * dependencies.settings.serverHeartbeatMs })
  kernel.register({
    name: 'routeRegister',
    dependsOn: [],
    create: () => createRouteRegister({ clock, random, logger, store: dependencies.routeTargetStore }, { isReader })
  })
  kernel.register({
    name: 'gatewayConfiguration',
    dependsOn: ['routeRegister'],
    create: (resolve) => {
      configuration = createGatewayConfiguration({ clock, source: resolve('routeRegister').wrap(configurationSource), logger, clocks }, { readIntervalMs: CONFIGURATION_READ_INTERVAL_MS, isReader, relianceMs: MAXIMUM_RELIANCE_MS, contact, onThrown })
      return configuration
    }
  })
  kernel.register({
    name: 'versionRegister',
    dependsOn: [],
    create: () => createVersionRegister({ clock, logger, store: dependencies.versionStore })
  })
  kernel.register({
    name: 'instanceRegistry',
    dependsOn: ['versionRegister'],
    create: (resolve) => {
      registry = createInstanceRegistry({ clock, source: instanceSource, logger }, { enterVersions: dependencies.versionStore === undefined ? undefined : resolve('versionRegister').enter, watchWaitMs, isReader, relianceMs: MAXIMUM_RELIANCE_MS, contact, onThrown, drainMs: dependencies.settings.serverDrainMs })
      return registry
    }
  })
  kernel.register({
    name: 'zoneDrains',
    dependsOn: [],
    create: () => {
      if (zoneDrainSource === undefined) return { api: NO_ZONE_DRAINS }
      const isZone = (name: string): boolean => settings.regionByZone?.has(name) ?? true
      zoneDrains = createZoneDrains({ clock, source: zoneDrainSource, logger }, { watchWaitMs, isReader, relianceMs: MAXIMUM_RELIANCE_MS, contact, onThrown, isZone })
      return zoneDrains
    }
  })
  kernel.register({
    name: 'knowledgeExchange',
    dependsOn: ['membership', 'heartbeatExchange', 'gatewayConfiguration', 'instanceRegistry', 'zoneDrains'],
    create: (resolve) => {
      if (configuration === undefined || registry === undefined) throw new Error('knowledgeExchange was created before gatewayConfiguration or instanceRegistry')
      return createKnowledgeExchange({ clock, random, transport, membership: resolve('membership'), exchange: resolve('heartbeatExchange'), configuration, registry, ...(zoneDrains === undefined ? {} : { zoneDrains }), contact, clocks, logger }, { queryIntervalMs: READER_QUERY_INTERVAL_MS })
    }
  })
}
