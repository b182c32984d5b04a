/**
 * A gateway node: the services that forward complete HTTP requests by host and
 * path, assembled in the kernel. All I/O is injected, as for a router node.
 */
import { containServerCalls } from './_lib/containServerCalls.js'
import { recordStartSteps } from './_lib/recordStartSteps.js'
import { registerAdmission } from './_lib/registerAdmission.js'
import { registerForwarding } from './_lib/registerForwarding.js'
import { registerHeldBytes } from './_lib/registerHeldBytes.js'
import { registerGauges } from './_lib/registerGauges.js'
import { registerSources } from './_lib/registerSources.js'
import { registerLoad } from './_lib/registerLoad.js'
import { registerPeers } from './_lib/registerPeers.js'
import type { Clocks } from '../../decisions/measureAge/index.js'
import { createKernel, type Kernel } from '../../kernel/index.js'
import type { FleetLoad } from '../../services/fleetLoad/index.js'
import type { HeartbeatExchange } from '../../services/heartbeatExchange/index.js'
import type { InstanceHealth } from '../../services/instanceHealth/index.js'
import type { InstanceNotices } from '../../services/instanceNotices/index.js'
import type { KnowledgeExchange } from '../../services/knowledgeExchange/index.js'
import type { PeerRelays } from '../../services/peerRelays/index.js'
import type { PromptDirectory } from '../../services/promptDirectory/index.js'
import type { PromptQuarantine } from '../../services/promptQuarantine/index.js'
import type { ReachExchange } from '../../services/reachExchange/index.js'
import type { RefusalLimiter } from '../../services/refusalLimiter/index.js'
import type { RouteRegister } from '../../services/routeRegister/index.js'
import type { StreamVersions } from '../../services/streamVersions/index.js'
import type { ServerEnds } from '../../services/serverEnds/index.js'
import type { ServerWork } from '../../services/serverWork/index.js'
import type { VersionRegister } from '../../services/versionRegister/index.js'
import type { VmList } from '../../services/vmList/index.js'
import type { WarmUpLimiter } from '../../services/warmUpLimiter/index.js'
import type {
  Clock, ConfigurationSource, PromptCacheSource, Forwarding, GatewayConfigurationHolder, GatewaySettings, HeldBytes, ImmediateAdmission, InstanceClient, InstanceRegistry, InstanceSource,
  LoadView, Logger, Membership, Metrics, PeerTransport, QuarantineStore, RandomSource, RelayClient, RouteTargetStore, StartTimeline, StreamBeginStore, VersionStore, ZoneDrains, ZoneDrainSource
} from '../../types/index.js'

export type GatewayNodeDependencies = {
  readonly settings: GatewaySettings
  /** Reads the settings in force now; by default those of the start. */
  readonly readSettings?: () => GatewaySettings
  readonly clock: Clock
  readonly random: RandomSource
  readonly clocks: Clocks
  readonly transport: PeerTransport
  readonly configurationSource: ConfigurationSource
  readonly instanceSource: InstanceSource
  /** Omitted when the deployment has no zone drains. */
  readonly zoneDrainSource?: ZoneDrainSource
  /** Keeps quarantined prompt parts beyond the processes of the fleet; omitted where the platform stores none. */
  readonly quarantineStore?: QuarantineStore
  /** Keeps which software versions may have begun streams; where the platform keeps none, a stream without a record is refused. */
  readonly versionStore?: VersionStore
  /** Keeps to which services routes of streams lead and led; omitted where the platform keeps none. */
  readonly routeTargetStore?: RouteTargetStore
  /** Keeps at which software versions streams began; omitted where the platform keeps none. */
  readonly streamBeginStore?: StreamBeginStore
  readonly client: InstanceClient
  readonly relayClient: RelayClient
  readonly promptCacheSource: PromptCacheSource
  readonly logger: Logger
  readonly metrics: Metrics
  readonly timeline?: StartTimeline
}

export type GatewayServices = {
  readonly heartbeatExchange: HeartbeatExchange
  readonly vmList: VmList
  readonly membership: Membership
  readonly gatewayConfiguration: GatewayConfigurationHolder
  readonly routeRegister: RouteRegister
  readonly versionRegister: VersionRegister
  readonly instanceRegistry: InstanceRegistry
  readonly zoneDrains: ZoneDrains
  readonly knowledgeExchange: KnowledgeExchange
  readonly fleetLoad: FleetLoad
  readonly loadView: LoadView
  readonly instanceHealth: InstanceHealth
  readonly instanceNotices: InstanceNotices
  readonly reachExchange: ReachExchange
  readonly peerRelays: PeerRelays
  readonly promptDirectory: PromptDirectory
  readonly warmUp: WarmUpLimiter
  readonly refusalLimiter: RefusalLimiter
  readonly serverWork: ServerWork
  readonly streamVersions: StreamVersions
  readonly serverEnds: ServerEnds
  readonly quarantine: PromptQuarantine
  readonly admission: ImmediateAdmission
  readonly heldBytes: HeldBytes
  readonly forwarding: Forwarding
}

export type GatewayNode = {
  readonly start: () => Promise<void>
  readonly stop: () => Promise<void>
  readonly resolve: Kernel<GatewayServices>['resolve']
  /** Whether the node can serve: it has a configuration, the list of backend servers and the zone drains. */
  readonly canServe: () => boolean
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
  const contained = containServerCalls(dependencies)
  const kernel = createKernel<GatewayServices>()
  registerPeers(kernel, contained)
  registerSources(kernel, contained)
  registerLoad(kernel, contained)
  registerAdmission(kernel, contained)
  registerHeldBytes(kernel, contained)
  registerForwarding(kernel, contained)
  return {
    start: async () => {
      await kernel.start()
      if (dependencies.timeline !== undefined) recordStartSteps(dependencies.timeline, kernel.resolve)
      registerGauges(contained.metrics, contained.client, kernel.resolve)
    },
    stop: kernel.stop,
    resolve: kernel.resolve,
    canServe: () => kernel.resolve('gatewayConfiguration').current() !== undefined && kernel.resolve('instanceRegistry').isKnown() && kernel.resolve('zoneDrains').isKnown()
  }
}
