/**
 * A router node: all services, assembled in the kernel. Everything from
 * outside is handed in, so that the daemon, a test with a manual clock, or
 * another harness with many nodes in one process drive the same code.
 */
import { createHash } from 'node:crypto'
import { isZoneWatcher } from '../../decisions/isZoneWatcher/index.js'
import { createKernel, type Kernel } from '../../kernel/index.js'
import { createAdmission, defaultAdmissionOptions } from '../../services/admission/index.js'
import { createBackendHealth, type RunningBackendHealth } from '../../services/backendHealth/index.js'
import { createChatDirectory } from '../../services/chatDirectory/index.js'
import { createClaims } from '../../services/claims/index.js'
import { createConfiguration } from '../../services/configuration/index.js'
import { createDispatch } from '../../services/dispatch/index.js'
import { createFleetLoad, type FleetLoad } from '../../services/fleetLoad/index.js'
import { createHeartbeatExchange, type HeartbeatExchange } from '../../services/heartbeatExchange/index.js'
import { createLoadView, type RunningLoadView } from '../../services/loadView/index.js'
import { createMembership, DEFAULT_FAN_OUT } from '../../services/membership/index.js'
import { createPlacement } from '../../services/placement/index.js'
import { createVmList, type VmList } from '../../services/vmList/index.js'
import type {
  BackendClient, Clock, Logger, Metrics, NodeServices, NodeStatus, PeerAddress, PeerTransport, Platform, RandomSource, RouterSettings
} from '../../types/index.js'
import { version } from '../../version.js'
import { countSlotsForNode } from './_lib/countSlotsForNode.js'
import { createUsageContributor } from './_lib/createUsageContributor.js'
import { registerGauges } from './_lib/registerGauges.js'

export type RouterNodeDependencies = {
  readonly settings: RouterSettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly platform: Platform
  readonly transport: PeerTransport
  /** What peers dial. */
  readonly peerAddress: () => PeerAddress
  readonly backendClient: BackendClient
  readonly logger: Logger
  readonly metrics: Metrics
}

/** The services of a node, with those that only other services use. */
export type RouterServices = NodeServices & {
  readonly heartbeatExchange: HeartbeatExchange
  readonly vmList: VmList
  readonly fleetLoad: FleetLoad
}

export type RouterNode = {
  readonly start: () => Promise<void>
  /** Stops the services; requests in flight should have ended before. */
  readonly stop: () => Promise<void>
  /** Finds a service by its name, once the node was started. */
  readonly resolve: Kernel<RouterServices>['resolve']
  /** Fails the readiness and tells peers; the node goes on serving. */
  readonly beginLeaving: () => void
  readonly status: () => NodeStatus
}

const VM_LIST_INTERVAL_MS = 5_000
const VM_LIST_READERS_PER_ZONE = 2
const CLAIM_OUTAGE_PAUSE_MS = 1_000
const CLAIM_BATCHES_PER_SNAPSHOT = 256

const hashContent = (content: string | Uint8Array): string => createHash('sha256').update(content).digest('hex')

const registerMembershipServices = (kernel: Kernel<RouterServices>, dependencies: RouterNodeDependencies): void => {
  const { settings, clock, random, platform, transport, peerAddress, logger, metrics } = dependencies
  kernel.register({ name: 'heartbeatExchange', dependsOn: [], create: () => ({ api: createHeartbeatExchange() }) })
  // A few readers a zone: the list's reads would otherwise grow with the fleet.
  const readsVmList = (): boolean => isZoneWatcher(settings, kernel.resolve('membership').members(), VM_LIST_READERS_PER_ZONE)
  kernel.register({ name: 'vmList', dependsOn: [], create: () => createVmList({ clock, random, platform }, { intervalMs: VM_LIST_INTERVAL_MS, isReader: readsVmList }) })
  kernel.register({
    name: 'membership',
    dependsOn: ['heartbeatExchange', 'vmList'],
    create: (resolve) => createMembership(
      { clock, random, transport, exchange: resolve('heartbeatExchange'), vmList: resolve('vmList'), logger },
      { settings, address: peerAddress, generation: () => kernel.isRunning('configuration') ? kernel.resolve('configuration').generation() : 0 }
    )
  })
  kernel.register({
    name: 'chatDirectory',
    dependsOn: ['membership'],
    create: (resolve) => createChatDirectory({ clock, transport, membership: resolve('membership'), metrics }, { settings })
  })
}

const registerConfiguration = (kernel: Kernel<RouterServices>, dependencies: RouterNodeDependencies): void => {
  const { settings, clock, random, platform, transport, logger } = dependencies
  kernel.register({
    name: 'configuration',
    dependsOn: ['membership', 'heartbeatExchange'],
    create: (resolve) => createConfiguration({
      platform,
      peerTransport: transport,
      peers: () => resolve('membership').members(),
      onPeerChange: (listener) => resolve('heartbeatExchange').addListener(() => listener()),
      clock,
      random,
      logger,
      hashContent
    }, settings)
  })
}

const registerLoadServices = (kernel: Kernel<RouterServices>, dependencies: RouterNodeDependencies): void => {
  const { settings, clock, random, transport, backendClient, logger, metrics } = dependencies
  let health: RunningBackendHealth | undefined
  let loadView: RunningLoadView | undefined
  kernel.register({
    name: 'fleetLoad',
    dependsOn: ['membership', 'configuration'],
    create: (resolve) => createFleetLoad({
      clock,
      transport,
      membership: resolve('membership'),
      readServers: () => resolve('configuration').current()?.sheet.backendServers ?? [],
      readCounts: () => loadView?.publishedCounts() ?? new Map()
    }, { fullMeshPeers: DEFAULT_FAN_OUT.fullMeshPeers })
  })
  kernel.register({
    name: 'loadView',
    dependsOn: ['membership', 'heartbeatExchange', 'fleetLoad'],
    create: (resolve) => {
      loadView = createLoadView({
        clock,
        transport,
        membership: resolve('membership'),
        exchange: resolve('heartbeatExchange'),
        fleetLoad: resolve('fleetLoad'),
        publishesExcess: (backendServer) => health?.publishesExcess(backendServer) ?? false
      }, { settings })
      return loadView
    }
  })
  kernel.register({
    name: 'backendHealth',
    dependsOn: ['configuration', 'loadView', 'membership', 'heartbeatExchange', 'vmList'],
    create: (resolve) => {
      health = createBackendHealth({
        clock,
        random,
        backendClient,
        logger,
        metrics,
        configuration: resolve('configuration'),
        loadView: resolve('loadView'),
        membership: resolve('membership'),
        exchange: resolve('heartbeatExchange'),
        vmList: resolve('vmList')
      }, { settings })
      return health
    }
  })
  kernel.register({
    name: 'placement',
    dependsOn: ['configuration', 'loadView', 'backendHealth'],
    create: (resolve) => createPlacement({ configuration: resolve('configuration'), backendHealth: resolve('backendHealth'), loadView: resolve('loadView') })
  })
}

const registerAdmission = (kernel: Kernel<RouterServices>, { settings, clock, metrics }: RouterNodeDependencies): void => {
  kernel.register({
    name: 'admission',
    dependsOn: ['configuration', 'loadView', 'backendHealth', 'heartbeatExchange'],
    create: (resolve) => {
      const sources = { configuration: resolve('configuration'), backendHealth: resolve('backendHealth'), loadView: resolve('loadView') }
      const admission = createAdmission({
        clock,
        metrics,
        configuration: sources.configuration,
        slotsForNode: (service) => countSlotsForNode(service, sources)
      }, { ...defaultAdmissionOptions, maximumQueued: settings.maximumQueueLength })
      const exchange = resolve('heartbeatExchange')
      exchange.addContributor(createUsageContributor(clock, admission.api))
      exchange.addListener(({ member, accountUsage }) => { if (accountUsage !== undefined) admission.api.mergeUsage(member.nodeId, accountUsage) })
      return admission
    }
  })
}

const registerRequestServices = (kernel: Kernel<RouterServices>, dependencies: RouterNodeDependencies): void => {
  const { settings, clock, random, platform, transport, backendClient, logger, metrics } = dependencies
  kernel.register({
    name: 'claims',
    dependsOn: ['membership'],
    create: (resolve) => createClaims({
      clock,
      random,
      platform,
      transport,
      membership: resolve('membership'),
      logger,
      metrics,
      options: {
        shards: settings.claimShards,
        flushIntervalMs: settings.claimFlushIntervalMs,
        retentionMs: settings.claimRetentionMs,
        peerTimeoutMs: settings.peerTimeoutMs,
        maximumAnswerBytes: settings.maximumAnswerBytes,
        outagePauseMs: CLAIM_OUTAGE_PAUSE_MS,
        pruneEvery: CLAIM_BATCHES_PER_SNAPSHOT
      }
    })
  })
  kernel.register({
    name: 'dispatch',
    dependsOn: ['configuration', 'admission', 'claims', 'placement', 'loadView', 'backendHealth', 'chatDirectory'],
    create: (resolve) => createDispatch({
      clock,
      random,
      logger,
      metrics,
      backendClient,
      configuration: resolve('configuration'),
      admission: resolve('admission'),
      claims: resolve('claims'),
      placement: resolve('placement'),
      loadView: resolve('loadView'),
      backendHealth: resolve('backendHealth'),
      chatDirectory: resolve('chatDirectory')
    }, { fleetKey: settings.fleetKey, retryShare: settings.retryShare, maximumAttempts: settings.maximumAttempts })
  })
}

/**
 * Creates a router node.
 *
 * @param dependencies - Settings, clock, random source, platform, peers, backend client, logger and metrics.
 * @returns The node, not yet started.
 *
 * @example
 * const node = createRouterNode(dependencies)
 * await node.start()
 * const answer = await node.resolve('dispatch').handle(request, signal)
 */
export const createRouterNode = (dependencies: RouterNodeDependencies): RouterNode => {
  const { settings, metrics } = dependencies
  const kernel = createKernel<RouterServices>()
  let isLeaving = false
  registerMembershipServices(kernel, dependencies)
  registerConfiguration(kernel, dependencies)
  registerLoadServices(kernel, dependencies)
  registerAdmission(kernel, dependencies)
  registerRequestServices(kernel, dependencies)

  const status = (): NodeStatus => {
    const configuration = kernel.resolve('configuration')
    const generation = configuration.generation()
    const pending = configuration.pending()
    return {
      nodeId: settings.nodeId,
      availabilityZone: settings.availabilityZone,
      region: settings.region,
      version,
      ready: !isLeaving && generation > 0,
      generation,
      ...(pending === undefined ? {} : { pending }),
      members: kernel.resolve('membership').members(),
      backendServers: kernel.resolve('backendHealth').statuses(),
      ledger: kernel.resolve('dispatch').ledger(),
      accountUsage: kernel.resolve('admission').usage()
    }
  }

  return {
    start: async () => {
      await kernel.start()
      registerGauges(metrics, {
        membership: kernel.resolve('membership'),
        configuration: kernel.resolve('configuration'),
        backendHealth: kernel.resolve('backendHealth'),
        dispatch: kernel.resolve('dispatch')
      })
    },
    stop: kernel.stop,
    resolve: kernel.resolve,
    beginLeaving: () => {
      isLeaving = true
      kernel.resolve('membership').announceLeaving()
    },
    status
  }
}
