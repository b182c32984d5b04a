/**
 * Which routers read the load report of which backend servers, so that probes
 * stay within a budget whatever the size of the fleet.
 */
import { rankMembers } from '../rankMembers/index.js'
import type { Member } from '../../types/index.js'

export type ProbedServer = { readonly name: string, readonly availabilityZone: string }

export type ProbeBudget = {
  /** Time between two reads of one server by one router, in milliseconds. */
  readonly intervalMs: number
  /** Reads that each router may make a second, on average. */
  readonly probesPerSecond: number
}

export type Probers = {
  /** Routers that read this server, the first responsible one first. */
  readonly byServer: ReadonlyMap<string, readonly Member[]>
  /** The interval that the budget allows, in milliseconds. */
  readonly intervalMs: number
}

/**
 * Selects the probers of every backend server of one availability zone.
 *
 * The routers of the server's own zone probe it, and those of other zones only
 * when it has none. As many routers read a server as the budget allows; when
 * it does not even allow one, the interval is stretched.
 *
 * @param servers - The backend servers of one zone.
 * @param routers - The live routers of that zone, or all live ones when it has none.
 * @param budget - Interval and number of probes.
 * @returns The probers of each server, and the interval to keep.
 *
 * @example
 * selectProbers([server], [router], { intervalMs: 1000, probesPerSecond: 4 }).byServer.get(server.name) // => [router]
 */
export const selectProbers = (servers: readonly ProbedServer[], routers: readonly Member[], { intervalMs, probesPerSecond }: ProbeBudget): Probers => {
  const probesPerInterval = routers.length * probesPerSecond * intervalMs / MS_PER_SECOND
  const affordable = probesPerInterval / Math.max(1, servers.length)
  const count = Math.min(routers.length, Math.max(1, Math.floor(affordable)))
  return {
    byServer: new Map(servers.map((server) => [server.name, rankMembers(server.name, routers, count)])),
    intervalMs: affordable >= 1 || routers.length === 0 ? intervalMs : intervalMs / affordable
  }
}

const MS_PER_SECOND = 1000
