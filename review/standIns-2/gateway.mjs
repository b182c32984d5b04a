/** Starts the daemon as the deploy file says, with the settings of a small deployment on loopback addresses. */
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const COMMAND = ['--max-old-space-size=160', 'target/gateway.cjs']

const isFree = (host, port) => new Promise((resolve) => {
  const server = createServer()
  server.on('error', () => resolve(false))
  server.listen(port, host, () => server.close(() => resolve(true)))
})

/** Finds ports that are free on every machine of the case; ports are the same on all machines. */
export const findPorts = async (hosts, count) => {
  for (let first = 20_000 + Math.floor(Math.random() * 8_000); first < 31_000; first += 50) {
    const free = []
    for (const host of hosts) for (let port = first; port < first + count; port += 1) free.push(await isFree(host, port))
    if (free.every(Boolean)) return first
  }
  throw new Error('no free ports')
}

const composeSettings = (fields) => Object.entries(fields).map(([name, value]) => `${name}=${value}`).join('\n') + '\n'

/** The fields of the settings file, as in DEPLOY.md. */
export const listFields = ({ name, host, zone, first, seeds, store, bootstrap = true, changes = {} }) => ({
  node_name: name,
  role: 'gateway',
  machine_class: 'edge',
  serves: 'edge,control',
  ip: host,
  zone,
  region: 'cz-venkov',
  'zones.venkov-a': 'cz-venkov',
  'zones.venkov-b': 'cz-venkov',
  'zones.venkov-c': 'cz-venkov',
  'listen.front': `${host}:${first}`,
  'listen.ready': `${host}:${first + 1}`,
  'listen.control': `${host}:${first + 2}`,
  internal_ports: `${first + 3},${first + 18}`,
  seeds: seeds.join(','),
  bootstrap,
  fault_counted: false,
  'limits.cpu_share': 0.675,
  'limits.cores': 1,
  'limits.memory_mb': 350,
  'limits.max_fds': 4100,
  'limits.link_mbps': '1000.0',
  'limits.disk_mb': 0,
  discovery: 'platform',
  entry: 'vip',
  heartbeat_ms: 1200,
  contracts: 'base,drain,config,cost,retry,recover,engine,stream,tenants,platform',
  'fault_tolerance.machines': 2,
  'fault_tolerance.zones': 1,
  'fault_tolerance.regions': 0,
  'bounds.seed_lag_s': 3,
  'bounds.reuse_after_s': 2,
  'bounds.contact_ms': 3000,
  'bounds.ack_ms': 4000,
  'bounds.catch_up_s': 4,
  'bounds.drain_ms': 2000,
  'bounds.grace_s': 8,
  'bounds.loss_slack_ms': 200,
  'bounds.config_apply_ms': 2000,
  'bounds.back_ms': 250,
  'bounds.max_stretch_ms': 5000,
  'bounds.revoke_on_partition': true,
  'bounds.revoke_ms': 5000,
  'bounds.retry_ratio': 0.2,
  'bounds.retry_window_s': 10,
  'bounds.retry_extra': 52,
  'bounds.recover_s': 12,
  'bounds.pass_ms': 120,
  'bounds.reuse_window_s': 10,
  'bounds.cap_factor': 2,
  'platform.address': store,
  'platform.form': 'objects',
  'platform.writes_per_s': 400,
  'platform.reads_per_s': 2000,
  'platform.history_s': 20,
  'platform.value_bytes': 1048576,
  'platform.ttl_min_ms': 1000,
  ...changes
})

const askReady = (host, port) => new Promise((resolve) => {
  const question = request({ host, port, path: '/readyz', agent: false, timeout: 1_000 }, (answer) => {
    answer.resume()
    resolve(answer.statusCode === 200)
  })
  question.on('timeout', () => question.destroy())
  question.on('error', () => resolve(false))
  question.end()
})

/** Starts one gateway; it can be signalled, and started again under its name and addresses. */
export const createGateway = (options) => {
  const { host, first } = options
  const folder = mkdtempSync(join(tmpdir(), 'gateway-case-'))
  const path = join(folder, 'node.conf')
  let fields = listFields(options)
  let child
  let ended
  let log = ''

  const start = () => {
    writeFileSync(path, composeSettings(fields))
    child = spawn(process.execPath, COMMAND, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, DOTTERELSPOKE_NODE_FILE: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.on('data', (chunk) => { log += chunk })
    child.stderr.on('data', (chunk) => { log += chunk })
    ended = new Promise((resolve) => { child.on('close', (code, signal) => resolve(code ?? signal)) })
  }

  start()
  return {
    name: options.name,
    host,
    front: { host, port: first },
    control: `${host}:${first + 2}`,
    pid: () => child.pid,
    log: () => log,
    isReady: () => askReady(host, first + 1),
    whenReady: async (limitMs = 20_000) => {
      const until = performance.now() + limitMs
      while (performance.now() < until) {
        if (await askReady(host, first + 1)) return
        await new Promise((resolve) => { setTimeout(resolve, 50) })
      }
      throw new Error(`${options.name} is not ready`)
    },
    signal: (name) => { child.kill(name) },
    ended: () => ended,
    restart: (changes = {}) => {
      fields = { ...fields, bootstrap: false, ...changes }
      start()
    },
    rewrite: (changes) => {
      fields = { ...fields, ...changes }
      writeFileSync(path, composeSettings(fields))
    },
    close: async () => {
      child.kill('SIGKILL')
      await ended
      rmSync(folder, { recursive: true })
    }
  }
}
