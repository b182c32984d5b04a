/**
 * Limits the refusals that this node causes at backend servers that state how many they
 * bear in one second. A send counts as a possible refusal until its answer begins; after
 * that as a refusal for a second, if it was one. The share of the node follows from its
 * rank among all members that it ever knew, dead ones included, as nodes that don't respond
 * may still send.
 */
import { computeRefusalShares } from '../../decisions/computeRefusalShares/index.js'
import { formatInstanceKey } from '../../decisions/formatInstanceKey/index.js'
import { rankMembers } from '../../decisions/rankMembers/index.js'
import type { RunningService } from '../../kernel/index.js'
import type { BackendInstance, Clock, InstanceRegistry, LoadView, Logger, Membership } from '../../types/index.js'

export type RefusalLimiter = {
  /** Records the limit that the server states in an answer; `undefined` when it states none any more. */
  readonly recordLimit: (instance: BackendInstance, refusalsPerSecond: number | undefined) => void
  /** Whether a further send could exceed this node's share of the refusals that the server bears. */
  readonly isLimitReached: (instance: BackendInstance) => boolean
  /** Counts a send; the returned function must be called once, with whether the server has accepted the request. */
  readonly recordSend: (instance: BackendInstance) => (outcome: SendDecision) => void
}

/** `unknown` when the exchange ended before any answer. */
export type SendDecision = 'accepted' | 'refused' | 'unknown'

export type RefusalLimiterDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly logger: Pick<Logger, 'info'>
  readonly registry: Pick<InstanceRegistry, 'all' | 'onChange'>
  readonly loadView: Pick<LoadView, 'estimateInFlight'>
  readonly membership: Pick<Membership, 'members' | 'self'>
}

export type RefusalLimiterOptions = {
  /** Number of nodes that may be running; `undefined` while unknown. A node that counts too few computes too large a share. */
  readonly countNodes: () => number | undefined
}

/** Window in which refusals are counted, in milliseconds: a second, and a tenth more because a send may wait for the CPU after it was counted. */
const WINDOW_MS = 1_100
/** Time after the start before this node uses its share, in milliseconds: it may have used its share just before a restart, and knows few members yet. */
const SETTLED_AFTER_MS = 3_000
/** A server with a load up to this share of its slots has room, however late the load counts of the other nodes are. */
const ROOMY_LOAD_SHARE = 0.5
/** Time after a refusal for which the load counts of that server are not relied on, in milliseconds. */
const DISTRUST_MS = 3_000

type Exposure = {
  /** Sends whose answer has not begun. */
  pending: number
  /** Monotonic milliseconds of refusals, and of sends that ended without an answer. */
  refusals: number[]
  refusedAt: number
}

/**
 * Creates the service.
 *
 * @param dependencies - Clock, log, servers with their load, and members.
 * @param options - How many nodes the fleet has.
 * @returns The service for the kernel.
 *
 * @example
 * createRefusalLimiter(dependencies, options).api.isLimitReached(instance) // => false
 */
export const createRefusalLimiter = (dependencies: RefusalLimiterDependencies, { countNodes }: RefusalLimiterOptions): RunningService<RefusalLimiter> => {
  const { clock, logger, registry, loadView, membership } = dependencies
  const startedAt = clock.now()
  const limits = new Map<string, { readonly service: string, readonly refusalsPerSecond: number }>()
  /** By service. */
  const lowestLimits = new Map<string, number>()
  const exposures = new Map<string, Exposure>()

  registry.onChange(() => {
    if (limits.size === 0 && exposures.size === 0) return
    const live = new Set(registry.all().map(formatInstanceKey))
    for (const key of limits.keys()) if (!live.has(key)) limits.delete(key)
    computeLowestLimits()
    for (const [key, { pending }] of exposures) if (!live.has(key) && pending === 0) exposures.delete(key)
  })

  /** A server that has not answered this node yet counts with the lowest limit that another one of its service states. */
  const findLimit = (instance: BackendInstance): number | undefined =>
    limits.get(formatInstanceKey(instance))?.refusalsPerSecond ?? lowestLimits.get(instance.service)

  const computeLowestLimits = (): void => {
    lowestLimits.clear()
    for (const { service, refusalsPerSecond } of limits.values()) lowestLimits.set(service, Math.min(refusalsPerSecond, lowestLimits.get(service) ?? Infinity))
  }

  const getExposure = (key: string): Exposure => {
    const known = exposures.get(key)
    if (known !== undefined) return known
    const created: Exposure = { pending: 0, refusals: [], refusedAt: -Infinity }
    exposures.set(key, created)
    return created
  }

  const countExposure = (exposure: Exposure): number => {
    const since = clock.now() - WINDOW_MS
    exposure.refusals = exposure.refusals.filter((at) => at > since)
    return exposure.pending + exposure.refusals.length
  }

  const computeShare = (key: string, limit: number): number => {
    const fleetNodes = countNodes()
    if (fleetNodes === undefined || clock.now() - startedAt < SETTLED_AFTER_MS) return 0
    const members = membership.members()
    const { nodes, refusalsPerNode } = computeRefusalShares(limit, fleetNodes)
    const self = membership.self().nodeId
    const isAmong = nodes >= members.length || rankMembers(key, members, nodes).some(({ nodeId }) => nodeId === self)
    return isAmong ? refusalsPerNode : 0
  }

  const isRoomy = (instance: BackendInstance, { refusedAt }: Exposure): boolean =>
    clock.now() - refusedAt >= DISTRUST_MS && loadView.estimateInFlight(formatInstanceKey(instance)) + 1 <= ROOMY_LOAD_SHARE * instance.slots

  return {
    api: {
      recordLimit: (instance, refusalsPerSecond) => {
        const key = formatInstanceKey(instance)
        const before = limits.get(key)?.refusalsPerSecond
        if (before === refusalsPerSecond) return
        if (refusalsPerSecond === undefined) limits.delete(key)
        else limits.set(key, { service: instance.service, refusalsPerSecond })
        computeLowestLimits()
        logger.info('backend server refusal limit changed', { backendServer: instance.id, service: instance.service, before, refusalsPerSecond })
      },
      isLimitReached: (instance) => {
        const limit = findLimit(instance)
        if (limit === undefined) return false
        const key = formatInstanceKey(instance)
        const exposure = getExposure(key)
        const share = computeShare(key, limit)
        const allowed = isRoomy(instance, exposure) ? Math.max(1, share) : share
        return countExposure(exposure) >= allowed
      },
      recordSend: (instance) => {
        const exposure = getExposure(formatInstanceKey(instance))
        exposure.pending += 1
        return (outcome) => {
          exposure.pending -= 1
          if (outcome === 'accepted') return
          exposure.refusals.push(clock.now())
          if (outcome === 'refused') exposure.refusedAt = clock.now()
        }
      }
    }
  }
}
