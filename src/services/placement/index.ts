/**
 * Chooses backend servers for the requests of this node, from the
 * configuration in force, the health of the servers and the load view.
 */
import { createHoldTimes, type HoldTimes } from '../_lib/createHoldTimes.js'
import { chooseBackendServer } from '../../decisions/chooseBackendServer/index.js'
import { computeCountSurvival } from '../../decisions/computeCountSurvival/index.js'
import { estimateLoad } from '../../decisions/estimateLoad/index.js'
import type { LoadedCandidate } from '../../decisions/computeLoadBounds/index.js'
import type { RunningService } from '../../kernel/index.js'
import type {
  BackendHealth, BackendPlacement, BackendServer, BackendServerState, BackendService, Configuration, ConfigurationHolder, LoadView
} from '../../types/index.js'

export type PlacementDependencies = {
  readonly configuration: Pick<ConfigurationHolder, 'current'>
  readonly backendHealth: Pick<BackendHealth, 'status'>
  readonly loadView: Pick<LoadView, 'estimateInFlight' | 'ownInFlight' | 'readSource'>
}

/** A configured backend server with its current weight and load. */
export type AvailableServer = {
  readonly name: string
  readonly weight: number
  readonly inFlight: number
  readonly backendServer: BackendServer
}

const NO_SERVER_RETRY_AFTER_MS = 1_000
const QUEUE_FULL_RETRY_AFTER_MS = 250

const acceptsNewRequests: Readonly<Record<BackendServerState, boolean>> = {
  live: true,
  slowStart: true,
  ejected: false,
  leaving: false,
  unreachable: false
}

const findService = (configuration: Configuration | undefined, name: string): BackendService | undefined =>
  configuration?.sheet.services.find((service) => service.name === name)

/**
 * Lists the backend servers of a service that accept new requests, with their load.
 *
 * @param service - Name of the service.
 * @param dependencies - Configuration, health and load of this node.
 * @returns The servers, in the order of the configuration sheet.
 */
export const listAvailableServers = (service: string, dependencies: Pick<PlacementDependencies, 'configuration' | 'backendHealth'> & { readonly loadView: Pick<LoadView, 'estimateInFlight'> }): readonly AvailableServer[] => {
  const servers = dependencies.configuration.current()?.sheet.backendServers ?? []
  return servers
    .filter((backendServer) => backendServer.service === service)
    .map((backendServer) => ({ backendServer, status: dependencies.backendHealth.status(backendServer.name) }))
    .filter(({ status }) => acceptsNewRequests[status.state])
    .map(({ backendServer, status }) => ({
      name: backendServer.name,
      weight: backendServer.slots * status.weightShare,
      inFlight: dependencies.loadView.estimateInFlight(backendServer.name),
      backendServer
    }))
}

/** Replaces the last count of a server by its expected load, and tells what of it has begun since the count. */
const applyAge = (server: AvailableServer, { loadView }: PlacementDependencies, holdTimes: HoldTimes): AvailableServer & Pick<LoadedCandidate, 'uncountedLoad'> => {
  const ownLoad = loadView.ownInFlight(server.name)
  const othersLoad = Math.max(0, server.inFlight - ownLoad)
  const { ageMs = Infinity, averageInFlight: averageOthersLoad = othersLoad } = loadView.readSource(server.name) ?? {}
  const countSurvival = computeCountSurvival({ ageMs, remainingMs: holdTimes.readRemaining(server.backendServer.service) })
  const { expected } = estimateLoad({ ownLoad, othersLoad, averageOthersLoad, countSurvival })
  return { ...server, inFlight: expected, uncountedLoad: (1 - countSurvival) * averageOthersLoad }
}

/**
 * Creates the placement service.
 *
 * @param dependencies - Configuration, health and load of this node.
 * @returns The service for the kernel.
 */
export const createPlacement = (dependencies: PlacementDependencies): RunningService<BackendPlacement> => {
  const holdTimes = createHoldTimes()
  return {
    api: {
      recordHoldTime: holdTimes.record,
      choose: (demand) => {
        const service = findService(dependencies.configuration.current(), demand.service)
        const servers = service === undefined ? [] : listAvailableServers(demand.service, dependencies)
        const hasCandidate = servers.some(({ name }) => !demand.excluded.has(name))
        if (service === undefined || !hasCandidate) return { kind: 'none', reason: 'noBackendServer', retryAfterMs: NO_SERVER_RETRY_AFTER_MS }
        const { loadTarget, loadLimit } = service
        const chosen = chooseBackendServer(demand, servers.map((server) => applyAge(server, dependencies, holdTimes)), { loadTarget, loadLimit })
        if (chosen === undefined) return { kind: 'none', reason: 'queueFull', retryAfterMs: QUEUE_FULL_RETRY_AFTER_MS }
        return { kind: 'chosen', backendServer: chosen.backendServer }
      }
    }
  }
}
