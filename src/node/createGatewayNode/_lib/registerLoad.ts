/** Registers the load estimates of the backend servers, from this node's own requests and those of all peers. */
import { computeLoadSumPeriod, MAXIMUM_PERIOD_MS } from '../../../decisions/computeLoadSumPeriod/index.js'
import { formatInstanceKey } from '../../../decisions/formatInstanceKey/index.js'
import { createFleetLoad, type NamedServer } from '../../../services/fleetLoad/index.js'
import { createLoadView, type RunningLoadView } from '../../../services/loadView/index.js'
import { createServerWork, type RunningServerWork } from '../../../services/serverWork/index.js'
import { DEFAULT_FAN_OUT } from '../../../services/membership/index.js'
import type { BackendInstance } from '../../../types/index.js'
import type { Kernel } from '../../../kernel/index.js'
import type { GatewayNodeDependencies, GatewayServices } from '../index.js'
import { DEAD_AFTER_MS } from './deadAfterMs.js'

const LOAD_REPORT_INTERVAL_MS = 250
const nameInstances = (instances: readonly BackendInstance[]): readonly NamedServer[] =>
  instances.map((instance) => ({ name: formatInstanceKey(instance), availabilityZone: instance.availabilityZone }))

/** Registers the load services: small fleets send digests to all peers, large fleets send snapshots summed by zone. */
export const registerLoad = (kernel: Kernel<GatewayServices>, { settings, clock, transport, logger }: GatewayNodeDependencies): void => {
  let loadView: RunningLoadView | undefined
  let serverWork: RunningServerWork | undefined
  const readUnreadTokens = (): ReadonlyMap<string, number> => serverWork?.readUnreadTokens() ?? new Map()
  kernel.register({
    name: 'fleetLoad',
    dependsOn: ['membership', 'instanceRegistry', 'gatewayConfiguration'],
    create: (resolve) => {
      const registry = resolve('instanceRegistry')
      let servers = nameInstances(registry.all())
      registry.onChange(() => { servers = nameInstances(registry.all()) })
      const configuration = resolve('gatewayConfiguration')
      let hasEngines = false
      configuration.onChange(() => { hasEngines = [...configuration.current()?.services.values() ?? []].some(({ engine }) => engine !== undefined) })
      return createFleetLoad(
        { clock, transport, membership: resolve('membership'), readServers: () => servers, readCounts: () => loadView?.readPublishedCounts() ?? new Map(), readUnreadTokens, logger },
        { fullMeshPeers: DEFAULT_FAN_OUT.fullMeshPeers, periodMs: MAXIMUM_PERIOD_MS, readPeriodMs: (count) => computeLoadSumPeriod({ servers: count, hasEngines }) }
      )
    }
  })
  kernel.register({
    name: 'loadView',
    dependsOn: ['membership', 'heartbeatExchange', 'fleetLoad'],
    create: (resolve) => {
      loadView = createLoadView(
        { clock, transport, membership: resolve('membership'), exchange: resolve('heartbeatExchange'), fleetLoad: resolve('fleetLoad'), readUnreadTokens },
        { settings: { nodeId: settings.nodeId, loadReportIntervalMs: LOAD_REPORT_INTERVAL_MS, deadAfterMs: DEAD_AFTER_MS } }
      )
      return loadView
    }
  })
  kernel.register({
    name: 'serverWork',
    dependsOn: ['gatewayConfiguration', 'instanceRegistry', 'loadView'],
    create: (resolve) => {
      const registry = resolve('instanceRegistry')
      const created = createServerWork({
        clock,
        logger,
        configuration: resolve('gatewayConfiguration'),
        loadView: resolve('loadView'),
        readPeersUnread: (key) => loadView?.readPeersUnread(key)
      })
      registry.onChange(() => created.retain(new Set([...registry.all(), ...registry.recentlyRemoved()].map(formatInstanceKey))))
      serverWork = created
      return created
    }
  })
}
