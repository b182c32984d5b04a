/** Registers the request path: health of the backend servers, cached prefix locations, warm-up limits and forwarding. */
import { createThrownReport } from './createThrownReport.js'
import { countFleetNodes } from '../../../decisions/countFleetNodes/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import { createForwarding, type ForwardingBounds } from '../../../services/forwarding/index.js'
import { createInstanceHealth } from '../../../services/instanceHealth/index.js'
import { createInstanceNotices } from '../../../services/instanceNotices/index.js'
import { createPeerRelays } from '../../../services/peerRelays/index.js'
import { createPromptDirectory, type DirectoryRecoverySources } from '../../../services/promptDirectory/index.js'
import { createPromptQuarantine } from '../../../services/promptQuarantine/index.js'
import { createReachExchange } from '../../../services/reachExchange/index.js'
import { createRefusalLimiter } from '../../../services/refusalLimiter/index.js'
import { createServerEnds } from '../../../services/serverEnds/index.js'
import { createStreamVersions } from '../../../services/streamVersions/index.js'
import { createWarmUpLimiter } from '../../../services/warmUpLimiter/index.js'
import type { BackendInstance, GatewaySettings, QuarantineStore } from '../../../types/index.js'
import { failure } from '../../../kernel/index.js'
import type { Kernel } from '../../../kernel/index.js'
import type { GatewayNodeDependencies, GatewayServices } from '../index.js'

/** Safety margin within the time limit for key revocation: covers clock drift and a request that is already being sent. */
const KEY_REVOCATION_MARGIN_MS = 500

/** Without a limit in the settings, a server that is warming up gets its stated rate. */
const DEFAULT_WARM_UP_LIMIT = { excess: 1, slack: 0 }

const noStore = async () => failure({ kind: 'unavailable', message: 'the platform stores no quarantines' } as const)
const NO_QUARANTINE_STORE: QuarantineStore = { list: noStore, watch: noStore, create: noStore, update: noStore, remove: noStore }

const toBounds = (settings: GatewaySettings): ForwardingBounds => ({
  loadFactor: settings.loadFactor,
  retryLimits: { ratio: settings.retryRatio, extra: settings.retryExtra, windowMs: settings.retryWindowMs },
  keyFreshnessMs: settings.keyRevocationMs > 0 ? settings.keyRevocationMs - KEY_REVOCATION_MARGIN_MS : Infinity,
  configurationFreshnessMs: settings.configurationDelayMs,
  controlsAdmission: settings.controlsAdmission === true
})

/** Whether a node may contact a backend server besides requests: not one that is leaving or in backoff. */
const createContactCheck = (resolve: Kernel<GatewayServices>['resolve']) => {
  const registry = resolve('instanceRegistry')
  const notices = resolve('instanceNotices')
  return (instance: BackendInstance): boolean => registry.find(instance.id)?.isLeaving !== true && notices.backoffRemainingMs(instance) === 0
}

/** Sources for recovering the cached prefix locations after a start: the configuration says which services run model engines, the registry lists the engines. */
const createRecoverySources = ({ settings, random, logger, promptCacheSource }: GatewayNodeDependencies, resolve: Kernel<GatewayServices>['resolve']): DirectoryRecoverySources => {
  const configuration = resolve('gatewayConfiguration')
  const registry = resolve('instanceRegistry')
  const zoneDrains = resolve('zoneDrains')
  const notices = resolve('instanceNotices')
  return {
    logger,
    random,
    registry: { all: () => registry.all().filter((instance) => !zoneDrains.isDrained(instance.availabilityZone)) },
    promptCacheSource,
    availabilityZone: settings.availabilityZone,
    mayQuery: createContactCheck(resolve),
    recordNotice: notices.record,
    isEngine: ({ service }) => configuration.current()?.services.get(service)?.isModelService === true,
    areEnginesKnown: () => configuration.current() !== undefined && registry.isKnown(),
    onEnginesChange: (listener) => {
      configuration.onChange(listener)
      registry.onChange(listener)
    }
  }
}

/** Counts the nodes among which bounds of the whole fleet are divided. */
const createNodeCount = (resolve: Kernel<GatewayServices>['resolve'], readSettings: () => GatewaySettings) => {
  const membership = resolve('membership')
  return (): number | undefined => {
    const { availabilityZone, regionByZone, seedPeers } = readSettings()
    return countFleetNodes({ members: membership.members(), availabilityZone, zones: Math.max(1, regionByZone?.size ?? 1), hasPeers: seedPeers.length > 0 })
  }
}

/** Registers the services of the request path. */
export const registerForwarding = (kernel: Kernel<GatewayServices>, dependencies: GatewayNodeDependencies): void => {
  const readSettings = dependencies.readSettings ?? (() => dependencies.settings)
  const { settings, clock, random, transport, client, logger, metrics } = dependencies
  const hasPeers = (): boolean => readSettings().seedPeers.length > 0
  kernel.register({
    name: 'refusalLimiter',
    dependsOn: ['instanceRegistry', 'loadView', 'membership'],
    create: (resolve) => createRefusalLimiter({ clock, logger, registry: resolve('instanceRegistry'), loadView: resolve('loadView'), membership: resolve('membership') }, { countNodes: createNodeCount(resolve, readSettings) })
  })
  kernel.register({
    name: 'instanceNotices',
    dependsOn: ['instanceRegistry', 'refusalLimiter'],
    create: (resolve) => createInstanceNotices({ clock, logger, metrics, registry: resolve('instanceRegistry'), refusals: resolve('refusalLimiter') })
  })
  kernel.register({
    name: 'instanceHealth',
    dependsOn: ['instanceRegistry', 'instanceNotices'],
    create: (resolve) => {
      const health = createInstanceHealth({ clock, logger, client, mayProbe: createContactCheck(resolve) })
      const registry = resolve('instanceRegistry')
      registry.onChange(() => {
        const live = new Set([...registry.all(), ...registry.recentlyRemoved()].map(formatInstanceKey))
        health.api.retain(live)
        client.retain(live)
      })
      return health
    }
  })
  kernel.register({
    name: 'reachExchange',
    dependsOn: ['instanceRegistry', 'instanceHealth', 'membership', 'heartbeatExchange'],
    create: (resolve) => createReachExchange({
      clock,
      logger,
      registry: resolve('instanceRegistry'),
      health: resolve('instanceHealth'),
      membership: resolve('membership'),
      exchange: resolve('heartbeatExchange')
    })
  })
  kernel.register({
    name: 'peerRelays',
    dependsOn: ['membership', 'reachExchange'],
    create: (resolve) => createPeerRelays({ clock, random, logger, membership: resolve('membership'), reach: resolve('reachExchange'), client: dependencies.relayClient })
  })
  kernel.register({
    name: 'promptDirectory',
    dependsOn: ['membership', 'instanceRegistry', 'instanceNotices', 'gatewayConfiguration', 'zoneDrains'],
    create: (resolve) => {
      const recovery = settings.isFirstStart ? {} : { recovery: createRecoverySources(dependencies, resolve) }
      return createPromptDirectory({ clock, transport, membership: resolve('membership'), ...recovery })
    }
  })
  kernel.register({
    name: 'warmUp',
    dependsOn: ['instanceRegistry', 'gatewayConfiguration', 'membership', 'zoneDrains'],
    create: (resolve) => createWarmUpLimiter({
      clock,
      registry: resolve('instanceRegistry'),
      configuration: resolve('gatewayConfiguration'),
      membership: resolve('membership'),
      zoneDrains: resolve('zoneDrains')
    }, {
      ...(settings.warmUpLimit ?? DEFAULT_WARM_UP_LIMIT),
      hasPeers
    })
  })
  kernel.register({
    name: 'serverEnds',
    dependsOn: ['instanceRegistry', 'instanceNotices'],
    create: (resolve) => {
      const mayContact = createContactCheck(resolve)
      const registry = resolve('instanceRegistry')
      return createServerEnds({ clock, logger, metrics, client, isExpected: (instance) => registry.find(instance.id)?.incarnation === instance.incarnation && mayContact(instance) })
    }
  })
  kernel.register({
    name: 'quarantine',
    dependsOn: ['membership', 'serverEnds'],
    create: (resolve) => createPromptQuarantine({ clock, random, logger, metrics, transport, membership: resolve('membership'), serverEnds: resolve('serverEnds'), store: dependencies.quarantineStore ?? NO_QUARANTINE_STORE })
  })
  kernel.register({
    name: 'streamVersions',
    dependsOn: ['membership', 'instanceRegistry', 'gatewayConfiguration', 'versionRegister', 'routeRegister'],
    create: (resolve) => createStreamVersions({ clock, random, logger, transport, membership: resolve('membership'), registry: resolve('instanceRegistry'), configuration: resolve('gatewayConfiguration'), register: resolve('versionRegister'), routes: resolve('routeRegister'), beginStore: dependencies.streamBeginStore, onThrown: createThrownReport(dependencies, 'streamVersions') })
  })
  kernel.register({
    name: 'forwarding',
    dependsOn: ['gatewayConfiguration', 'instanceRegistry', 'instanceHealth', 'instanceNotices', 'reachExchange', 'peerRelays', 'promptDirectory', 'loadView', 'membership', 'zoneDrains', 'warmUp', 'refusalLimiter', 'serverWork', 'streamVersions', 'serverEnds', 'quarantine', 'admission'],
    create: (resolve) => createForwarding({
      clock,
      random,
      logger,
      metrics,
      client,
      configuration: resolve('gatewayConfiguration'),
      registry: resolve('instanceRegistry'),
      health: resolve('instanceHealth'),
      notices: resolve('instanceNotices'),
      reach: resolve('reachExchange'),
      relays: resolve('peerRelays'),
      directory: resolve('promptDirectory'),
      loadView: resolve('loadView'),
      membership: resolve('membership'),
      zoneDrains: resolve('zoneDrains'),
      warmUp: resolve('warmUp'),
      refusals: resolve('refusalLimiter'),
      work: resolve('serverWork'),
      streamVersions: resolve('streamVersions'),
      serverEnds: resolve('serverEnds'),
      quarantine: resolve('quarantine'),
      admission: resolve('admission'),
      hasRoom: (instance, { tokens }, targetMs) => resolve('serverWork').hasRoom(instance, { tokens: tokens.prompt + tokens.output, targetMs })
    }, {
      nodeId: settings.nodeId,
      ...(settings.millicores === undefined ? {} : { millicores: settings.millicores }),
      availabilityZone: settings.availabilityZone,
      ...(settings.regionByZone === undefined ? {} : { regionByZone: settings.regionByZone }),
      readBounds: () => toBounds(readSettings()),
      countNodes: createNodeCount(resolve, readSettings),
      isFirstStart: settings.isFirstStart
    })
  })
}
