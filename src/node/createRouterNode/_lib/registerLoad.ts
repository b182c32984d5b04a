/** Registers the load and health of the backend servers, and the placement of requests on them. */
import type { Kernel } from '../../../kernel/index.js'
import { createBackendHealth, type RunningBackendHealth } from '../../../services/backendHealth/index.js'
import { createFleetLoad } from '../../../services/fleetLoad/index.js'
import { createLoadView, type RunningLoadView } from '../../../services/loadView/index.js'
import { DEFAULT_FAN_OUT } from '../../../services/membership/index.js'
import { createPlacement } from '../../../services/placement/index.js'
import type { RouterNodeDependencies, RouterServices } from '../index.js'

/** Registers load, health and placement. */
export const registerLoad = (kernel: Kernel<RouterServices>, dependencies: RouterNodeDependencies): void => {
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
      readCounts: () => loadView?.readPublishedCounts() ?? new Map()
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
