/**
 * A fleet of gateways over the stand-ins of the platform, in one process with
 * real sockets on free ports. Everything ends with `close`.
 */
import { createDialect } from '../../../platform/createDialect/index.js'
import { createConfigurationSource, createInstanceSource } from '../../../platform/createSources/index.js'
import { createStoreClient, type StoreClient } from '../../../platform/createStoreClient/index.js'
import { createBackendStandIn, type BackendStandIn, type BackendStandInOptions } from '../../../platform/standIn/createBackendStandIn/index.js'
import { createStoreServer, type StoreServer } from '../../../platform/standIn/createStoreServer/index.js'
import { startGateway, type Gateway } from '../../../src/daemon/startGateway/index.js'
import type { GatewaySettings, LogFields, Logger, PeerAddress } from '../../../src/types/index.js'

export type LogLine = LogFields & { readonly message: string }

export type FleetOptions = {
  readonly nodes?: number
  readonly settings?: Partial<GatewaySettings>
  readonly engines?: readonly BackendStandInOptions[]
  readonly plain?: readonly BackendStandInOptions[]
  readonly routes?: readonly Readonly<Record<string, unknown>>[]
  readonly tenants?: readonly Readonly<Record<string, unknown>>[]
}

export type GatewayFleet = {
  readonly store: StoreServer
  readonly gateways: readonly Gateway[]
  readonly backends: ReadonlyMap<string, BackendStandIn>
  readonly callerAddress: (index?: number) => PeerAddress
  readonly logs: readonly LogLine[]
  /** Writes a configuration of this version; routes and accounts as given at the start unless changed. */
  readonly applyConfiguration: (version: number, changes?: { readonly routes?: FleetOptions['routes'], readonly tenants?: FleetOptions['tenants'] }) => void
  /** Takes the store away from one node; the others keep it. */
  readonly cutFromStore: (index: number) => void
  readonly register: (backend: BackendStandIn, service: string, changes?: Readonly<Record<string, unknown>>) => void
  readonly close: () => Promise<void>
}

export const HOST = 'shop.example'
export const KEY = 'key-of-pekarna'
export const ENGINES = 'engines'
export const PLAIN = 'plain'

const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }

export const createRoute = (name: string, changes: Readonly<Record<string, unknown>> = {}): Readonly<Record<string, unknown>> => ({
  name,
  host: HOST,
  path_prefix: `/${name}/`,
  route_type: 'safe',
  timeout_ms: 2_000,
  latency_goal_ms: 300,
  priority: 1,
  service: PLAIN,
  max_attempts: 2,
  public: false,
  ...changes
})

const DEFAULT_ROUTES = [
  createRoute('lookup'),
  createRoute('order', { route_type: 'unsafe', max_attempts: 1 }),
  createRoute('chat', { route_type: 'stream', service: ENGINES, resumable: true, gap_target_ms: 300 }),
  createRoute('once', { route_type: 'stream', service: ENGINES, resumable: false, max_attempts: 1, gap_target_ms: 300 }),
  createRoute('open', { public: true })
]

const DEFAULT_TENANTS = [{ name: 'pekarna', api_keys: [KEY, 'second-key'], priority: 1 }]

const createLogger = (lines: LogLine[]): Logger => {
  const write = (message: string, fields: LogFields = {}): void => { lines.push({ message, ...fields }) }
  return { error: write, warn: write, info: write, debug: write }
}

type SeverableStore = StoreClient & { readonly cut: () => void }

/** A client whose way to the store can be taken away. */
const createSeverableStore = (client: StoreClient): SeverableStore => {
  let isCut = false
  return {
    get: async (path, timeoutMs) => isCut ? { ok: false, error: { kind: 'unavailable', message: 'cut off' } } : await client.get(path, timeoutMs),
    close: client.close,
    cut: () => { isCut = true }
  }
}

const createSettings = (name: string, seedPeers: readonly PeerAddress[], changes: Partial<GatewaySettings>): GatewaySettings => ({
  nodeId: name,
  availabilityZone: 'zone-a',
  callerAddress: { host: '127.0.0.1', port: 0 },
  readinessAddress: { host: '127.0.0.1', port: 0 },
  metricsAddress: undefined,
  peerAddress: { host: '127.0.0.1', port: 0 },
  seedPeers,
  fleetKey: 'fleet-of-the-test',
  graceMs: 4_000,
  keyRevocationMs: 5_000,
  configurationDelayMs: 2_000,
  repeatRatio: 0.2,
  repeatExtra: 50,
  repeatWindowMs: 10_000,
  loadFactor: 2,
  logLevel: 'debug',
  ...changes
})

/**
 * Starts store, backends and gateways, and waits until each gateway is ready.
 *
 * @param options - How many of each, and what differs from the defaults.
 * @returns The running fleet.
 */
export const startGatewayFleet = async (options: FleetOptions = {}): Promise<GatewayFleet> => {
  const store = await createStoreServer()
  const logs: LogLine[] = []
  const backends = new Map<string, BackendStandIn>()
  let routes = options.routes ?? DEFAULT_ROUTES
  let tenants = options.tenants ?? DEFAULT_TENANTS

  const applyConfiguration: GatewayFleet['applyConfiguration'] = (version, changes = {}) => {
    routes = changes.routes ?? routes
    tenants = changes.tenants ?? tenants
    store.put('config', 'main', { version, routes, services: [{ name: ENGINES, max_conns: 300, engine: {} }, { name: PLAIN, max_conns: 90 }], limits: LIMITS, tenants })
  }

  const register: GatewayFleet['register'] = (backend, service, changes = {}) => {
    const { host, port } = backend.address()
    store.put('servers', backend.id, { service, address: `${host}:${port}`, zone: 'zone-a', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq_no: 1, born: 1, ...changes })
  }

  const startAll = async (service: string, all: readonly BackendStandInOptions[]): Promise<void> => {
    for (const one of all) {
      const backend = await createBackendStandIn(one)
      backends.set(one.id, backend)
      register(backend, service)
    }
  }

  await startAll(ENGINES, options.engines ?? [{ id: 'engine-1' }, { id: 'engine-2' }])
  await startAll(PLAIN, options.plain ?? [{ id: 'plain-1' }, { id: 'plain-2' }])
  applyConfiguration(1)

  const clients: SeverableStore[] = []
  const gateways: Gateway[] = []
  for (let index = 0; index < (options.nodes ?? 1); index++) {
    const client = createSeverableStore(createStoreClient(store.address()))
    clients.push(client)
    gateways.push(await startGateway({
      settings: createSettings(`node-${index + 1}`, gateways.map(({ peerAddress }) => peerAddress), options.settings ?? {}),
      logger: createLogger(logs),
      dialect: createDialect(),
      configurationSource: createConfigurationSource(client),
      instanceSource: createInstanceSource(client),
      readinessPath: '/readyz'
    }))
  }
  for (const gateway of gateways) await gateway.whenAble()

  return {
    store,
    gateways,
    backends,
    callerAddress: (index = 0) => gateways[index]!.callerAddress,
    logs,
    applyConfiguration,
    cutFromStore: (index) => clients[index]!.cut(),
    register,
    close: async () => {
      for (const gateway of gateways) await gateway.kill()
      for (const client of clients) client.close()
      for (const backend of backends.values()) await backend.close()
      await store.close()
    }
  }
}
