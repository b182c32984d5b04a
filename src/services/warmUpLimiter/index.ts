/**
 * Limits what this node sends to backend servers that are warming up. Whether a server is
 * warming up follows from its entry and from drains that ended. The share of the node
 * follows from its rank among all members that it ever knew, dead ones included: a node
 * that is only partitioned from the others still uses its share.
 */
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import { rankMembers } from '../../decisions/rankMembers/index.js'
import { computeWarmUpShares } from '../../decisions/computeWarmUpShares/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { BackendInstance, Clock, GatewayConfigurationHolder, GatewayService, InstanceRegistry, Membership, ZoneDrains } from '../../types/index.js'

export type WarmUpLimiter = {
  /** Remaining warm-up of the server in milliseconds; 0 when it can take its full load. */
  readonly remainingMs: (instance: BackendInstance) => number
  /** Whether the server is warming up and this node's share of its rate is used up. */
  readonly isLimitReached: (instance: BackendInstance) => boolean
  /** Counts a request that is sent to the server now. */
  readonly recordSend: (instance: BackendInstance) => void
}

export type WarmUpLimiterDependencies = {
  readonly clock: Clock
  readonly registry: Pick<InstanceRegistry, 'warmUpLeftMs' | 'onChange' | 'all'>
  readonly configuration: Pick<GatewayConfigurationHolder, 'current'>
  readonly membership: Pick<Membership, 'members' | 'self' | 'onChange'>
  readonly zoneDrains: Pick<ZoneDrains, 'endedAgoMs'>
}

export type WarmUpLimiterOptions = {
  /** Multiple of a warming server's rate that it may get in one second. */
  readonly excess: number
  /** Requests that it may get in one second beyond that. */
  readonly slack: number
  /** Whether the fleet has other nodes. A node that should know peers and knows none is partitioned, and its rank is wrong. */
  readonly hasPeers: () => boolean
}

/** Window in which sends are counted, in milliseconds: a second, and a tenth more because a send may wait for the CPU after it was counted. */
const WINDOW_MS = 1_100
/** Time after the start before this node uses its share, in milliseconds: it may have used its share just before a restart, and knows few members yet. */
const SETTLED_AFTER_MS = 3_000
/** Servers of a zone whose drain has ended may be cold; their entries show it a heartbeat later. In milliseconds. */
const ENTRY_DELAY_MS = 1_500

/**
 * Creates the service.
 *
 * @param dependencies - Clock, and the state of servers, configuration, members and drains.
 * @param options - Bounds on the rate that the configuration gives.
 * @returns The service for the kernel.
 *
 * @example
 * createWarmUpLimiter(dependencies, options).api.isLimitReached(instance) // => false
 */
export const createWarmUpLimiter = (dependencies: WarmUpLimiterDependencies, options: WarmUpLimiterOptions): RunningService<WarmUpLimiter> => {
  const { clock, registry, configuration, membership, zoneDrains } = dependencies
  const startedAt = clock.now()
  const sendsByKey = new Map<string, number[]>()
  /** Whether this node ranks high enough to send to a server, by instance key; reset when the members change. */
  let responsibleFor = new Map<string, boolean>()

  membership.onChange(() => { responsibleFor = new Map() })
  registry.onChange(() => {
    if (sendsByKey.size === 0 && responsibleFor.size === 0) return
    const live = new Set(registry.all().map(formatInstanceKey))
    for (const key of sendsByKey.keys()) if (!live.has(key)) sendsByKey.delete(key)
    for (const key of responsibleFor.keys()) if (!live.has(key)) responsibleFor.delete(key)
  })

  const findWarmUp = ({ service }: BackendInstance): GatewayService['warmUp'] => configuration.current()?.services.get(service)?.warmUp

  const remainingMs = (instance: BackendInstance): number => {
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
      remainingMs,
      isLimitReached: (instance) => {
        const warmUp = findWarmUp(instance)
        if (warmUp === undefined || remainingMs(instance) <= 0) return false
        const { nodes, requestsPerNode } = computeWarmUpShares({ ...options, requestsPerSecond: warmUp.requestsPerSecond })
        const key = formatInstanceKey(instance)
        if (nodes === 0 || !isSettled() || !isResponsible(key, nodes)) return true
        return listSends(key).length >= requestsPerNode
      },
      recordSend: (instance) => {
        if (remainingMs(instance) > 0) listSends(formatInstanceKey(instance)).push(clock.now())
      }
    }
  }
}
