/** The operator's side: the store, the desired state of a small installation, and its plain servers. */
import { createStoreServer } from '../target/review/createStoreServer.mjs'
import { startPlainServer } from './plainServer.mjs'

export const KEY = 'n2ctnfzs989anu6wsjnb'
export const SERVICE = 'order-app'
export const TENANT = 'pekarna'

const createRoute = (name, changes = {}) => ({
  name,
  host: 'shop.example',
  path_prefix: `/${name}/`,
  route_type: 'unsafe',
  timeout_ms: 2_500,
  latency_goal_ms: 300,
  priority: 2,
  service: SERVICE,
  max_attempts: 1,
  public: false,
  ...changes
})

const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }

/** Starts the store with version 1 of the desired state and `count` servers of the plain service. */
export const startPlatform = async ({ count, workMs, runs, record, disturbances = {} }) => {
  const store = await createStoreServer()
  const servers = []
  for (let index = 1; index <= count; index++) {
    const id = `i-${index}`
    const server = await startPlainServer({ id, workMs, runs, record, disturbance: disturbances[id] })
    servers.push(server)
    store.put('servers', id, { service: SERVICE, address: server.address, zone: 'zone-a', version: 'v1', slots: 6, state: 'ready', cold_left_ms: 0, seq_no: 1, born: Date.now() })
  }
  const { host, port } = store.address()

  const applyConfiguration = (version, { routes = [createRoute('order')], tenants = [{ name: TENANT, api_keys: [KEY] }] } = {}) =>
    store.put('config', 'main', { version, routes, services: [{ name: SERVICE, max_conns: 96, health_path: '/health' }], limits: LIMITS, tenants })

  applyConfiguration(1)
  return {
    store,
    storeAddress: `${host}:${port}`,
    servers,
    applyConfiguration,
    close: async () => {
      for (const server of servers) await server.close()
      await store.close()
    }
  }
}
