/** What the node knows from its sources: the configuration and the backend servers, read by few and passed on. */
import { createGatewayConfiguration, type RunningGatewayConfiguration } from '../../../services/gatewayConfiguration/index.js'
import { createInstanceRegistry, type RunningInstanceRegistry } from '../../../services/instanceRegistry/index.js'
import { createKnowledgeExchange } from '../../../services/knowledgeExchange/index.js'
import { createZoneDrains, type RunningZoneDrains } from '../../../services/zoneDrains/index.js'
import type { Kernel } from '../../../kernel/index.js'
import type { ZoneDrains } from '../../../types/index.js'
import type { GatewayNodeDependencies, GatewayServices } from '../index.js'

/**
 * Time between two reads of the configuration: half of the two seconds in which
 * a new one has to be in force, less a slow read.
 */
const CONFIGURATION_READ_MS = 800
/** One watch's wait: a connection that went silent is found that much later, well before a leaving server's bound. */
const WATCH_WAIT_MS = 2_500
/** Time between two questions of a node to its readers, by turns: both are heard within 1.1 s. */
const READER_ASK_MS = 550
/**
 * How long a node trusts its readers without proof: a read every 0.8 s and a
 * question every 0.55 s leave it 1.4 s old at most, and past two seconds it could
 * not say any more that a route does not exist.
 */
const RELIANCE_MS = 1_500

/** For deployments whose zones are never drained. */
const NO_ZONE_DRAINS: ZoneDrains = { isDrained: () => false, endedAgoMs: () => Infinity, revision: () => 0, isKnown: () => true, onChange: () => { /* nothing changes */ } }

/** Registers the holders of configuration, backend servers and zone drains, and their exchange with peers. */
export const registerKnowledge = (kernel: Kernel<GatewayServices>, dependencies: GatewayNodeDependencies): void => {
  const { clock, random, clocks, transport, configurationSource, instanceSource, zoneDrainSource, settings, logger } = dependencies
  let configuration: RunningGatewayConfiguration | undefined
  let registry: RunningInstanceRegistry | undefined
  let zoneDrains: RunningZoneDrains | undefined
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
    name: 'zoneDrains',
    dependsOn: [],
    create: () => {
      if (zoneDrainSource === undefined) return { api: NO_ZONE_DRAINS }
      const isZone = (name: string): boolean => settings.regionByZone?.has(name) ?? true
      zoneDrains = createZoneDrains({ clock, source: zoneDrainSource, logger }, { watchWaitMs: WATCH_WAIT_MS, isReader, relianceMs: RELIANCE_MS, isZone })
      return zoneDrains
    }
  })
  kernel.register({
    name: 'knowledgeExchange',
    dependsOn: ['membership', 'heartbeatExchange', 'gatewayConfiguration', 'instanceRegistry', 'zoneDrains'],
    create: (resolve) => {
      if (configuration === undefined || registry === undefined) throw new Error('knowledge is exchanged before its holders were made')
      return createKnowledgeExchange({ clock, random, transport, membership: resolve('membership'), exchange: resolve('heartbeatExchange'), configuration, registry, ...(zoneDrains === undefined ? {} : { zoneDrains }), clocks }, { askIntervalMs: READER_ASK_MS })
    }
  })
}
