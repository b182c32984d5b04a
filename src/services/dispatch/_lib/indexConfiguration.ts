/** Indexes a configuration, so that client accounts and routes are found without a scan. Cached per configuration. */
import type { PathRoute } from '../../../decisions/matchRoute/index.js'
import type { BackendService, ClientAccount, Configuration, Route } from '../../../types/index.js'

export type ConfigurationIndex = {
  readonly configuration: Configuration
  readonly accountsByKeyHash: ReadonlyMap<string, ClientAccount>
  readonly routesByModel: ReadonlyMap<string, Route>
  readonly pathRoutes: readonly PathRoute[]
  readonly servicesByName: ReadonlyMap<string, BackendService>
}

const indexes = new WeakMap<Configuration, ConfigurationIndex>()

const buildIndex = (configuration: Configuration): ConfigurationIndex => {
  const { clientAccounts, routes, services } = configuration.sheet
  const accountsByKeyHash = new Map(clientAccounts.flatMap((account) => account.keyHashes.map((hash) => [hash, account] as const)))
  const routesByModel = new Map<string, Route>()
  const pathRoutes: PathRoute[] = []
  for (const route of routes) {
    if (route.model !== undefined) routesByModel.set(route.model, route)
    if (route.path !== undefined) pathRoutes.push({ prefix: route.path.toLowerCase().replace(/\/+$/, ''), route })
  }
  const servicesByName = new Map(services.map((service) => [service.name, service]))
  return { configuration, accountsByKeyHash, routesByModel, pathRoutes, servicesByName }
}

export const indexConfiguration = (configuration: Configuration): ConfigurationIndex => {
  const known = indexes.get(configuration)
  if (known !== undefined) return known
  const built = buildIndex(configuration)
  indexes.set(configuration, built)
  return built
}
