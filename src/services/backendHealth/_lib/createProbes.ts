/**
 * Periodically reads the load reports of the backend servers that are assigned to this node.
 */
import { selectProbers } from '../../../decisions/selectProbers/index.js'
import type { ProbeBudget } from '../../../decisions/selectProbers/index.js'
import { groupBy } from '../../../kernel/groupBy/index.js'
import type { BackendClient, BackendError, BackendServer, Clock, LoadReport, Member, RandomSource, Result, Timer } from '../../../types/index.js'

export type ProbesDependencies = {
  readonly clock: Clock
  readonly random: RandomSource
  readonly backendClient: Pick<BackendClient, 'readLoad'>
  readonly onReport: (backendServer: BackendServer, result: Result<LoadReport, BackendError>) => void
}

export type ProbesOptions = ProbeBudget & { readonly nodeId: string, readonly timeoutMs: number }

export type Probes = {
  /** Recomputes which servers this node probes, after a change of the servers or routers. */
  readonly assign: (servers: readonly BackendServer[], routers: readonly Member[]) => void
  /** Whether this node is the first of the routers responsible for a server. */
  readonly isFirst: (backendServer: string) => boolean
  readonly stop: () => void
}

type Assignment = { readonly server: BackendServer, readonly intervalMs: number, readonly isFirst: boolean }

const JITTER = 0.2

export const createProbes = (dependencies: ProbesDependencies, options: ProbesOptions): Probes => {
  const { clock, random, backendClient, onReport } = dependencies
  const timers = new Map<string, Timer>()
  let assignments: ReadonlyMap<string, Assignment> = new Map()
  let isStopped = false

  const probe = async (name: string): Promise<void> => {
    const assignment = assignments.get(name)
    timers.delete(name)
    if (assignment === undefined) return
    const result = await backendClient.readLoad(assignment.server.url, options.timeoutMs)
    const current = assignments.get(name)
    if (isStopped || current === undefined) return
    onReport(current.server, result)
    if (timers.has(name)) return
    schedule(name, current.intervalMs * (1 + JITTER * (random.next() - 0.5)))
  }

  const schedule = (name: string, delayMs: number): void => {
    timers.set(name, clock.setTimer(delayMs, () => { probe(name) }))
  }

  const assignZone = (servers: readonly BackendServer[], routers: readonly Member[]): readonly Assignment[] => {
    const { byServer, intervalMs } = selectProbers(servers, routers, options)
    return servers.flatMap((server) => {
      const rank = byServer.get(server.name)!.findIndex((router) => router.nodeId === options.nodeId)
      return rank === -1 ? [] : [{ server, intervalMs, isFirst: rank === 0 }]
    })
  }

  return {
    assign: (servers, routers) => {
      const routersByZone = groupBy(routers, (router) => router.availabilityZone)
      const hasSelf = (zoneRouters: readonly Member[]): boolean => zoneRouters.some((router) => router.nodeId === options.nodeId)
      const assigned = [...groupBy(servers, (server) => server.availabilityZone)].flatMap(([zone, zoneServers]) => {
        const zoneRouters = routersByZone.get(zone)
        if (zoneRouters === undefined) return assignZone(zoneServers, routers)
        return hasSelf(zoneRouters) ? assignZone(zoneServers, zoneRouters) : []
      })
      const before = assignments
      assignments = new Map(assigned.map((assignment) => [assignment.server.name, assignment]))
      for (const { server } of assigned) {
        // The first reads are spread over the interval, so that servers are not all read at the same time.
        if (!before.has(server.name) && !timers.has(server.name)) schedule(server.name, options.intervalMs * random.next())
      }
    },
    isFirst: (backendServer) => assignments.get(backendServer)?.isFirst === true,
    stop: () => {
      isStopped = true
      for (const timer of timers.values()) timer.cancel()
    }
  }
}
