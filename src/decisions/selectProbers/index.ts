/**
 * Assigns backend servers to the routers that read their load reports, so that
 * probes stay within a budget whatever the size of the fleet.
 */
import { rankMembers } from '../rankMembers/index.js'
import type { Member } from '../../types/index.js'

export type ProbedServer = { readonly name: string, readonly availabilityZone: string }

export type ProbeBudget = {
  /** Time between two probes of one server by one router, in milliseconds. */
  readonly intervalMs: number
  /** Average number of probes per second that each router may make. */
  readonly probesPerSecond: number
}

export type Probers = {
  /** Routers that probe each server, by server name; highest rank first. */
  readonly byServer: ReadonlyMap<string, readonly Member[]>
  /** The interval that the budget allows, in milliseconds. */
  readonly intervalMs: number
}

/**
 * Selects the probers of every backend server of one availability zone.
 *
 * A server is probed by the routers of its own zone, and by those of other zones
 * only when its zone has none. As many routers probe a server as the budget allows;
 * when it does not allow even one, the interval is extended.
 *
 * @param servers - The backend servers of one zone.
 * @param routers - The live routers of that zone, or all live routers when it has none.
 * @param budget - Interval and rate of probes.
 * @returns The probers of each server, and the interval between probes in milliseconds.
 *
 * @example
 * selectProbers([server], [router], { intervalMs: 1000, probesPerSecond: 4 }).byServer.get(server.name) // => [router]
 */
export const selectProbers = (servers: readonly ProbedServer[], routers: readonly Member[], { intervalMs, probesPerSecond }: ProbeBudget): Probers => {
  const probesPerInterval = routers.length * probesPerSecond * intervalMs / MS_PER_SECOND
  const probersPerServer = probesPerInterval / Math.max(1, servers.length)
  const count = Math.min(routers.length, Math.max(1, Math.floor(probersPerServer)))
  return {
    byServer: new Map(servers.map((server) => [server.name, rankMembers(server.name, routers, count)])),
    intervalMs: probersPerServer >= 1 || routers.length === 0 ? intervalMs : intervalMs / probersPerServer
  }
}

const MS_PER_SECOND = 1000
