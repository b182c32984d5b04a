/**
 * Tells peers with each heartbeat how many backend servers this node reaches, and keeps
 * what they tell. A node alone can't distinguish between servers that are down and a
 * network partition between itself and all servers; its peers' reach shows which it is.
 */
import type { RunningService } from '../../kernel/index.js'
import type { BackendInstance, Clock, Heartbeat, InstanceRegistry, Logger, Member, Membership, ServerReach } from '../../types/index.js'
import type { HeartbeatExchange } from '../heartbeatExchange/index.js'
import type { InstanceHealth } from '../instanceHealth/index.js'

export type PeerReach = 'some' | 'none' | 'unknown'

export type ReachExchange = {
  /** Backend servers in the list of this node, and how many of them it reaches. */
  readonly readOwn: () => ServerReach
  /** What the peer reported lately; `unknown` without a recent report, and when it has no backend servers in its list. */
  readonly readPeer: (nodeId: string) => PeerReach
  /** Number of peers by what they reported. */
  readonly countPeers: () => Readonly<Record<PeerReach, number>>
}

export type ReachExchangeDependencies = {
  readonly clock: Pick<Clock, 'now'>
  readonly logger: Pick<Logger, 'info' | 'warn'>
  readonly registry: Pick<InstanceRegistry, 'all'>
  readonly health: Pick<InstanceHealth, 'isSuspended' | 'readUnheardMs'>
  readonly membership: Pick<Membership, 'members' | 'self'>
  readonly exchange: HeartbeatExchange
}

/** Age in milliseconds after which a report does not count any more: three heartbeats. */
const MAXIMUM_REPORT_AGE_MS = 1_500

const isServing = ({ isLeaving }: BackendInstance): boolean => !isLeaving

const classify = ({ reachable, known }: ServerReach): PeerReach => {
  if (known === 0) return 'unknown'
  return reachable > 0 ? 'some' : 'none'
}

/**
 * Creates the service.
 *
 * @param dependencies - Clock, log, the state of servers and members, and the heartbeat exchange.
 * @returns The service for the kernel.
 *
 * @example
 * createReachExchange(dependencies).api.readOwn() // => { reachable: 9, known: 9 }
 */
export const createReachExchange = (dependencies: ReachExchangeDependencies): RunningService<ReachExchange> => {
  const { clock, logger, registry, health, membership, exchange } = dependencies
  const reports = new Map<string, { readonly reach: ServerReach, readonly receivedAt: number }>()
  let wasOutOfReach = false

  const readOwn = (): ServerReach => {
    const serving = registry.all().filter(isServing)
    return { reachable: serving.filter((instance) => !health.isSuspended(instance)).length, known: serving.length }
  }

  const readPeer = (nodeId: string): PeerReach => {
    const report = reports.get(nodeId)
    if (report === undefined || clock.now() - report.receivedAt > MAXIMUM_REPORT_AGE_MS) return 'unknown'
    return classify(report.reach)
  }

  const listPeers = (): readonly Member[] => {
    const { nodeId } = membership.self()
    return membership.members().filter((member) => member.nodeId !== nodeId && member.state !== 'dead')
  }

  const countPeers = (): Readonly<Record<PeerReach, number>> => {
    const counts: Record<PeerReach, number> = { some: 0, none: 0, unknown: 0 }
    for (const { nodeId } of listPeers()) counts[readPeer(nodeId)] += 1
    return counts
  }

  const logChange = (own: ServerReach): void => {
    const isOutOfReach = classify(own) === 'none'
    if (isOutOfReach === wasOutOfReach) return
    wasOutOfReach = isOutOfReach
    const { some, none, unknown } = countPeers()
    const fields = { ...own, unheardMs: Math.round(health.readUnheardMs()), peersReaching: some, peersNotReaching: none, peersUnknown: unknown }
    if (isOutOfReach) logger.warn('all backend servers out of reach', fields)
    else logger.info('backend servers in reach again', fields)
  }

  const recordReport = ({ member, reach }: Heartbeat): void => {
    if (reach !== undefined) reports.set(member.nodeId, { reach, receivedAt: clock.now() })
  }

  const removeOld = (): void => {
    for (const [nodeId, { receivedAt }] of reports) if (clock.now() - receivedAt > MAXIMUM_REPORT_AGE_MS) reports.delete(nodeId)
  }

  exchange.addListener(recordReport)
  exchange.addContributor(() => {
    const reach = readOwn()
    logChange(reach)
    removeOld()
    return { reach }
  })

  return { api: { readOwn, readPeer, countPeers } }
}
