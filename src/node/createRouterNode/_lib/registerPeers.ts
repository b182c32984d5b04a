/** Registers membership of the routers, and the chat directory that is distributed over them. */
import { isZoneWatcher } from '../../../decisions/isZoneWatcher/index.js'
import type { Kernel } from '../../../kernel/index.js'
import { createChatDirectory } from '../../../services/chatDirectory/index.js'
import { createHeartbeatExchange } from '../../../services/heartbeatExchange/index.js'
import { createMembership } from '../../../services/membership/index.js'
import { createVmList } from '../../../services/vmList/index.js'
import type { RouterNodeDependencies, RouterServices } from '../index.js'

const VM_LIST_INTERVAL_MS = 5_000
const VM_LIST_READERS_PER_ZONE = 2

/** Registers membership with its dependencies, and the chat directory. */
export const registerPeers = (kernel: Kernel<RouterServices>, dependencies: RouterNodeDependencies): void => {
  const { settings, clock, random, platform, transport, peerAddress, logger, metrics } = dependencies
  kernel.register({ name: 'heartbeatExchange', dependsOn: [], create: () => ({ api: createHeartbeatExchange() }) })
  // Only a few nodes per zone read the list, so that the reads do not grow with the fleet.
  const isVmListReader = (): boolean => isZoneWatcher(settings, kernel.resolve('membership').members(), VM_LIST_READERS_PER_ZONE)
  kernel.register({ name: 'vmList', dependsOn: [], create: () => createVmList({ clock, random, platform }, { intervalMs: VM_LIST_INTERVAL_MS, isReader: isVmListReader }) })
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
