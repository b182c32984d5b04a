/** Registers membership: heartbeats between the gateway nodes, bootstrapped from the seed peers of the settings. */
import type { HeartbeatFanOut } from '../../../decisions/selectHeartbeatTargets/index.js'
import { createHeartbeatExchange } from '../../../services/heartbeatExchange/index.js'
import { createThrownReport } from './createThrownReport.js'
import { createMembership, DEFAULT_FAN_OUT } from '../../../services/membership/index.js'
import type { VmList } from '../../../services/vmList/index.js'
import type { Kernel } from '../../../kernel/index.js'
import type { GatewayNodeDependencies, GatewayServices } from '../index.js'
import { DEAD_AFTER_MS } from './deadAfterMs.js'

const HEARTBEAT_INTERVAL_MS = 500
/** Gossip crosses zones through the fixed watchers; a random remote peer would account for a third of the packets. */
const FAN_OUT: HeartbeatFanOut = { ...DEFAULT_FAN_OUT, randomRemotePeers: 0 }
const SUSPECT_AFTER_MS = 1_500
/** Gateway nodes find each other through the seed peers; they read no VM list. */
const NO_VM_LIST: VmList = { current: () => undefined, onRead: () => { /* never called: the list is not read */ } }

/** Registers membership and its dependencies. */
export const registerPeers = (kernel: Kernel<GatewayServices>, dependencies: GatewayNodeDependencies): void => {
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
        settings: { nodeId: settings.nodeId, availabilityZone: settings.availabilityZone, get seedPeers () { return readSettings().seedPeers }, heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS, suspectAfterMs: SUSPECT_AFTER_MS, deadAfterMs: DEAD_AFTER_MS },
        address: () => settings.peerAddress,
        fanOut: FAN_OUT,
        onThrown: createThrownReport(dependencies, 'membership'),
        ...(settings.millicores === undefined ? {} : { millicores: settings.millicores }),
        ...(settings.relayAddress === undefined ? {} : { relayPort: settings.relayAddress.port }),
        generation: () => kernel.isRunning('gatewayConfiguration') ? kernel.resolve('gatewayConfiguration').version() : 0
      }
    )
  })
}
