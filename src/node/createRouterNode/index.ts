/**
 * A router node: all services, assembled in the kernel. External dependencies
 * are injected, so that the daemon, a test with a manual clock, and a harness
 * with many nodes in one process run the same code.
 */
import { registerConfiguration } from './_lib/registerConfiguration.js'
import { registerGauges } from './_lib/registerGauges.js'
import { registerLoad } from './_lib/registerLoad.js'
import { registerPeers } from './_lib/registerPeers.js'
import { registerRequests } from './_lib/registerRequests.js'
import { createKernel, type Kernel } from '../../kernel/index.js'
import type { FleetLoad } from '../../services/fleetLoad/index.js'
import type { HeartbeatExchange } from '../../services/heartbeatExchange/index.js'
import type { VmList } from '../../services/vmList/index.js'
import type {
  BackendClient, Clock, Logger, Metrics, NodeServices, NodeStatus, PeerAddress, PeerTransport, Platform, RandomSource, RouterSettings
} from '../../types/index.js'
import { version } from '../../version.js'

export type RouterNodeDependencies = {
  readonly settings: RouterSettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly platform: Platform
  readonly transport: PeerTransport
  /** Address to which peers connect. */
  readonly peerAddress: () => PeerAddress
  readonly backendClient: BackendClient
  readonly logger: Logger
  readonly metrics: Metrics
}

/** The services of a router node, including internal ones. */
export type RouterServices = NodeServices & {
  readonly heartbeatExchange: HeartbeatExchange
  readonly vmList: VmList
  readonly fleetLoad: FleetLoad
}

export type RouterNode = {
  readonly start: () => Promise<void>
  /** Stops the services. Requests in flight should have finished before. */
  readonly stop: () => Promise<void>
  /** Returns a service by its name, once the node has started. */
  readonly resolve: Kernel<RouterServices>['resolve']
  /** Fails the readiness check and notifies peers; the node continues to serve. */
  readonly beginLeaving: () => void
  readonly status: () => NodeStatus
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
  registerPeers(kernel, dependencies)
  registerConfiguration(kernel, dependencies)
  registerLoad(kernel, dependencies)
  registerRequests(kernel, dependencies)

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
