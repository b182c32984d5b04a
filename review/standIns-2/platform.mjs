/** A small deployment: a store with a desired state, backend servers and gateways. */
import { createStore } from './store.mjs'
import { createBackend } from './backend.mjs'
import { createGateway, findPorts } from './gateway.mjs'
import { HOST } from './client.mjs'

export const KEY = 'n2ctnfzs989anu6wsjnb'
export const MODEL = 'huvo11a'
export const PLAIN = 'wuno96b'

export const ROUTES = [
  { name: 'r-draft', host: HOST, path_prefix: '/draft/', route_type: 'stream', timeout_ms: 6000, latency_goal_ms: 800, priority: 0, service: MODEL, max_attempts: 2, public: false, sticky: true, resumable: true, gap_target_ms: 300 },
  { name: 'r-terms', host: HOST, path_prefix: '/terms/', route_type: 'stream', timeout_ms: 4000, latency_goal_ms: 1000, priority: 1, service: MODEL, max_attempts: 1, public: false, sticky: true, resumable: false, gap_target_ms: 300 },
  { name: 'r-counter', host: HOST, path_prefix: '/counter/', route_type: 'stream', timeout_ms: 15000, latency_goal_ms: 1200, priority: 2, service: MODEL, max_attempts: 2, public: false, sticky: true, resumable: true, gap_target_ms: 300 },
  { name: 'r-settle', host: HOST, path_prefix: '/settle/', route_type: 'unsafe', timeout_ms: 800, latency_goal_ms: 300, priority: 2, service: PLAIN, max_attempts: 1, public: false },
  { name: 'r-stock', host: HOST, path_prefix: '/stock/', route_type: 'safe', timeout_ms: 800, latency_goal_ms: 300, priority: 2, service: PLAIN, max_attempts: 2, public: false }
]

const ENGINE = { slots: 64, kv_capacity: 232000, kv_token_bytes: 327680, link_mbps: 550000, moves: true, backups: true, stride: 3, most: 2, pin_ms: 4000, hold_ms: 2000, kv_handle_s: 5, models: [{ name: 'm' }] }

export const composeState = (version, { routes = ROUTES, tenants = [{ name: 'hule930', api_keys: [KEY], priority: 1 }] } = {}) => ({
  version,
  routes,
  services: [
    { name: MODEL, health_path: '/health', max_conns: 360, protocol: 'h1', tls: false, engine: ENGINE },
    { name: PLAIN, health_path: '/health', max_conns: 96, protocol: 'h1', tls: false }
  ],
  limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  tenants
})

const ZONES = ['venkov-a', 'venkov-b', 'venkov-c']

/** Starts everything; each machine has a loopback address of its own. */
export const startDeployment = async ({ gateways = 1, plain = 3, models = 0, backend = {}, state = {}, fields = {} }) => {
  const store = await createStore('127.0.0.1')
  const runs = []
  const onRun = (run) => { runs.push(run) }
  const backends = []
  for (let index = 0; index < plain; index += 1) backends.push(await createBackend({ id: `i-plain${index + 1}`, service: PLAIN, zone: ZONES[index % 3], store, onRun, ...backend, ...backend.plain }))
  for (let index = 0; index < models; index += 1) backends.push(await createBackend({ id: `i-model${index + 1}`, service: MODEL, zone: ZONES[index % 3], store, onRun, slots: 64, queue: 192, ...backend, ...backend.models }))
  store.put('config', 'main', composeState(7, state))
  const hosts = Array.from({ length: gateways }, (_, index) => `127.0.0.${11 + index}`)
  const first = await findPorts(hosts, 19)
  const seeds = hosts.slice(0, 3).map((host) => `${host}:${first + 2}`)
  const nodes = hosts.map((host, index) => createGateway({ name: `edge-${ZONES[index % 3]}-${index + 1}`, host, zone: ZONES[index % 3], first, seeds, store: store.address, changes: fields }))
  const close = async () => {
    for (const node of nodes) await node.close()
    for (const one of backends) one.close()
    store.close()
  }
  try {
    for (const node of nodes) await node.whenReady()
  } catch (error) {
    await close()
    throw error
  }
  return { store, runs, backends, nodes, close }
}
