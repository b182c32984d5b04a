/** Starts a platform, backend servers and routers, each as a separate process, with a configuration sheet in force. */
import { createPlatformHttp } from '../../adapters/platformHttp/index.js'
import { createSystemClock } from '../../adapters/systemClock/index.js'
import { createSystemRandom } from '../../adapters/systemRandom/index.js'
import { computeSha256 } from '../../kernel/index.js'
import { createAuditTrail } from '../../services/auditTrail/index.js'
import { createConfigurationStore } from '../../services/configurationStore/index.js'
import type { BackendServer, Sheet } from '../../types/index.js'
import { startProcess, type RunningProcess } from './startProcess.js'

export type BenchEnvironmentOptions = {
  readonly routers: number
  readonly engines: number
  readonly services: number
  readonly accounts: number
  /** Slots of each model engine, in its flags and in the sheet. */
  readonly slots: number
  /** Further flags of `dotterelspoke emulate engine`. */
  readonly engineFlags: readonly string[]
}

export type BenchRouterAddresses = { readonly callerUrl: string, readonly operatorUrl: string }

export type BenchEnvironment = {
  readonly engineUrls: readonly string[]
  readonly routers: readonly BenchRouterAddresses[]
  /** Keys of the client accounts. */
  readonly keys: readonly string[]
  readonly stop: () => Promise<void>
}

/** Model of the first route. The models and paths of all routes are the defaults of the load tool. */
export const BENCH_MODEL = 'chat'

const ZONE = 'bench-a'
const SERVICE_SLOTS = 256
const SECRET = 'a-secret-of-the-bench'
const PLATFORM_TIMEOUT_MS = 5000
const READINESS_POLL_MS = 20
const READINESS_LIMIT_MS = 20_000

/**
 * Starts the processes and puts a sheet in force.
 *
 * @param options - Number of processes of each kind, and the flags of the model engines.
 * @returns The addresses of the processes, the keys of the client accounts, and a function that stops them all.
 *
 * @example
 * const environment = await startBenchEnvironment({ routers: 1, engines: 3, services: 0, accounts: 1, slots: 16, engineFlags: [] })
 */
export const startBenchEnvironment = async (options: BenchEnvironmentOptions): Promise<BenchEnvironment> => {
  const started: RunningProcess[] = []
  const start = async (args: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<RunningProcess> => {
    const child = await startProcess(args, environment)
    started.push(child)
    return child
  }
  const startSeveral = async (count: number, args: readonly string[]): Promise<readonly string[]> => {
    const children = await Promise.all(Array.from({ length: count }, () => start(args)))
    return children.map(({ ready }) => String(ready['listening']))
  }
  const stop = async (): Promise<void> => {
    for (const child of started.splice(0).reverse()) {
      child.terminate()
      await child.whenExited
    }
  }

  try {
    const keys = Array.from({ length: options.accounts }, (_, index) => `key-of-bench-${index}`)
    const [platformUrl = ''] = await startSeveral(1, ['emulate', 'platform'])
    const engineUrls = await startSeveral(options.engines, ['emulate', 'engine', '--slots', String(options.slots), ...options.engineFlags])
    const serviceUrls = await startSeveral(options.services, ['emulate', 'service', '--slots', String(SERVICE_SLOTS)])
    await applySheet(platformUrl, buildSheet({ keys, engineUrls, serviceUrls, slots: options.slots }))
    const routers = await startRouters(options.routers, platformUrl, start)
    return { engineUrls, routers, keys, stop }
  } catch (error) {
    await stop()
    throw error
  }
}

type Start = (args: readonly string[], environment: Readonly<Record<string, string>>) => Promise<RunningProcess>

const startRouters = async (count: number, platformUrl: string, start: Start): Promise<readonly BenchRouterAddresses[]> => {
  const routers: BenchRouterAddresses[] = []
  let seedFlags: readonly string[] = []
  for (let index = 0; index < count; index += 1) {
    const { ready } = await start([
      'router', '--node-id', `router-${index}`, '--availability-zone', ZONE, '--platform-url', platformUrl, '--log-level', 'error',
      '--caller-port', '0', '--operator-port', '0', '--peer-port', '0', '--shutdown-delay-ms', '0', ...seedFlags
    ], { DOTTERELSPOKE_FLEET_KEY: SECRET, DOTTERELSPOKE_OPERATOR_TOKEN: SECRET })
    if (index === 0) seedFlags = ['--seed-peers', String(ready['peer'])]
    routers.push({ callerUrl: String(ready['caller']), operatorUrl: String(ready['operator']) })
  }
  for (const { operatorUrl } of routers) await waitUntilReady(operatorUrl)
  return routers
}

type SheetParts = { readonly keys: readonly string[], readonly engineUrls: readonly string[], readonly serviceUrls: readonly string[], readonly slots: number }

const describeServers = (service: string, urls: readonly string[], slots: number): readonly BackendServer[] =>
  urls.map((url, index) => ({ name: `${service}-${index}`, service, url, availabilityZone: ZONE, slots }))

const buildSheet = ({ keys, engineUrls, serviceUrls, slots }: SheetParts): Sheet => {
  const route = { backendIdempotent: false, deadlineSeconds: 60, priority: 'interactive', repeatable: true } as const
  const bounds = { loadLimit: 1.5, loadTarget: 1.26 }
  const modelRoutes: Sheet['routes'] = [
    { ...route, name: 'chat', service: 'engines', model: BENCH_MODEL },
    { ...route, name: 'overnight', service: 'engines', model: 'overnight', priority: 'overnight' }
  ]
  const plainRoutes: Sheet['routes'] = [
    { ...route, name: 'stock', service: 'till', path: '/stock' },
    { ...route, name: 'orders', service: 'till', path: '/orders', repeatable: false }
  ]
  const hasServices = serviceUrls.length > 0
  return {
    clientAccounts: keys.map((key, index) => ({ name: `account-${index}`, weight: 1, keyHashes: [computeSha256(key)] })),
    services: [{ name: 'engines', kind: 'model', ...bounds }, ...hasServices ? [{ name: 'till', kind: 'plain', ...bounds } as const] : []],
    backendServers: [...describeServers('engines', engineUrls, slots), ...describeServers('till', serviceUrls, SERVICE_SLOTS)],
    routes: [...modelRoutes, ...hasServices ? plainRoutes : []],
    plannedStops: []
  }
}

const applySheet = async (platformUrl: string, sheet: Sheet): Promise<void> => {
  const platform = createPlatformHttp({ url: platformUrl, timeoutMs: PLATFORM_TIMEOUT_MS })
  const store = createConfigurationStore({ platform, auditTrail: createAuditTrail(platform), clock: createSystemClock(), random: createSystemRandom(), hashContent: computeSha256 })
  const outcome = await store.applySheet({ sheet, plannedAgainst: 0, appliedBy: 'bench', applyId: 'bench', action: 'sheet apply' })
  await platform.close()
  if (outcome.kind !== 'applied') throw new Error(`the benchmark sheet was not applied: ${outcome.kind}`)
}

const waitUntilReady = async (operatorUrl: string): Promise<void> => {
  const clock = createSystemClock()
  const limit = clock.now() + READINESS_LIMIT_MS
  while (clock.now() < limit) {
    const response = await fetch(`${operatorUrl}/readyz`)
    if (response.ok) return
    await new Promise<void>((resolve) => { clock.setTimer(READINESS_POLL_MS, resolve) })
  }
  throw new Error('a router of the benchmark did not become ready in time')
}
