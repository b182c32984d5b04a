/**
 * How much this node may send to backend servers that warm up. Which ones do
 * follows from their entries and from drains that ended; the node's part follows
 * from its rank among all members that it ever heard of, dead ones included: a
 * node that is merely cut off goes on spending its part.
 */
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import { rankMembers } from '../../decisions/rankMembers/index.js'
import { shareWarmUp } from '../../decisions/shareWarmUp/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { BackendInstance, Clock, GatewayConfigurationHolder, GatewayService, InstanceRegistry, Membership, ZoneDrains } from '../../types/index.js'

export type WarmUp = {
  /** Milliseconds for which the server is taken to warm up still; 0 when it bears its full load. */
  readonly leftMs: (instance: BackendInstance) => number
  /** Whether this node may not send to it now, because it warms up. */
  readonly isAtRate: (instance: BackendInstance) => boolean
  /** Counts a request that goes to it now. */
  readonly noteSend: (instance: BackendInstance) => void
}

export type WarmUpDependencies = {
  readonly clock: Clock
  readonly registry: Pick<InstanceRegistry, 'warmUpLeftMs' | 'onChange' | 'all'>
  readonly configuration: Pick<GatewayConfigurationHolder, 'current'>
  readonly membership: Pick<Membership, 'members' | 'self' | 'onChange'>
  readonly zoneDrains: Pick<ZoneDrains, 'endedAgoMs'>
}

export type WarmUpOptions = {
  /** Multiple of a warming server's rate that it may get in one second, and requests beyond it. */
  readonly excess: number
  readonly slack: number
  /** Whether the node should know other nodes: one alone that should is cut off, and not to be relied on. */
  readonly hasPeers: () => boolean
}

/** A second, and a tenth for sends that wait for the processor between their count and their way. */
const WINDOW_MS = 1_100
/** A node that has just started may have been another's equal before, with its part spent, and knows few members yet. */
const SETTLED_AFTER_MS = 3_000
/** Servers of a zone whose drain has ended may be cold; their entries say so a heartbeat later. */
const ENTRY_DELAY_MS = 1_500

/**
 * Creates the service.
 *
 * @param dependencies - What tells of servers, members and drains.
 * @param options - The bound beside the rate that the configuration gives.
 * @returns The service for the kernel.
 *
 * @example
 * createWarmUp(dependencies, options).api.isAtRate(instance) // => false
 */
export const createWarmUp = (dependencies: WarmUpDependencies, options: WarmUpOptions): RunningService<WarmUp> => {
  const { clock, registry, configuration, membership, zoneDrains } = dependencies
  const startedAt = clock.now()
  const sendsByKey = new Map<string, number[]>()
  /** Servers for which this node is among the first; made anew when the members change. */
  let responsibleFor = new Map<string, boolean>()

  membership.onChange(() => { responsibleFor = new Map() })
  registry.onChange(() => {
    if (sendsByKey.size === 0 && responsibleFor.size === 0) return
    const live = new Set(registry.all().map(formatInstanceKey))
    for (const key of sendsByKey.keys()) if (!live.has(key)) sendsByKey.delete(key)
    for (const key of responsibleFor.keys()) if (!live.has(key)) responsibleFor.delete(key)
  })

  const findWarmUp = ({ service }: BackendInstance): GatewayService['warmUp'] => configuration.current()?.services.get(service)?.warmUp

  const leftMs = (instance: BackendInstance): number => {
    const warmUp = findWarmUp(instance)
    if (warmUp === undefined) return 0
    const afterDrainMs = warmUp.durationMs + ENTRY_DELAY_MS - zoneDrains.endedAgoMs(instance.availabilityZone)
    return Math.max(registry.warmUpLeftMs(instance), afterDrainMs, 0)
  }

  const isSettled = (): boolean =>
    clock.now() - startedAt >= SETTLED_AFTER_MS && (!options.hasPeers() || membership.members().length > 1)

  const isResponsible = (key: string, nodes: number): boolean => {
    const known = responsibleFor.get(key)
    if (known !== undefined) return known
    const self = membership.self().nodeId
    const isAmong = rankMembers(key, membership.members(), nodes).some(({ nodeId }) => nodeId === self)
    responsibleFor.set(key, isAmong)
    return isAmong
  }

  const listSends = (key: string): number[] => {
    const since = clock.now() - WINDOW_MS
    const recent = (sendsByKey.get(key) ?? []).filter((at) => at > since)
    sendsByKey.set(key, recent)
    return recent
  }

  return {
    api: {
      leftMs,
      isAtRate: (instance) => {
        const warmUp = findWarmUp(instance)
        if (warmUp === undefined || leftMs(instance) <= 0) return false
        const { nodes, requestsEach } = shareWarmUp({ ...options, requestsPerSecond: warmUp.requestsPerSecond })
        const key = formatInstanceKey(instance)
        if (nodes === 0 || !isSettled() || !isResponsible(key, nodes)) return true
        return listSends(key).length >= requestsEach
      },
      noteSend: (instance) => {
        if (leftMs(instance) > 0) listSends(formatInstanceKey(instance)).push(clock.now())
      }
    }
  }
}
