/**
 * Runs gateways as the platform does: with the command of deploy/system.toml, a settings file
 * in the format of DEPLOY.md, and a restart after a short delay when a process ends by itself.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

const RESTART_DELAY_MS = 300

const readCommand = () => {
  const [, text] = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))
  const [program, ...words] = text.split(' ')
  return { program: program === 'node' ? process.execPath : program, words }
}

const holdFreePort = () => new Promise((resolve) => {
  const server = createServer()
  server.listen(0, '127.0.0.1', () => resolve(server))
})

/** Finds ports that are all different: each is held until the last one is found. */
export const findFreePorts = async (count) => {
  const servers = []
  for (let index = 0; index < count; index++) servers.push(await holdFreePort())
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map((server) => new Promise((resolve) => { server.close(resolve) })))
  return ports
}

/** The settings of DEPLOY.md, with the figures of a small installation; `fields` are added or replaced. */
const composeSettings = ({ name, ports, seeds, store, isFirstStart, fields }) => Object.entries({
  node_name: name,
  role: 'gateway',
  machine_class: 'edge',
  serves: 'edge,control',
  ip: '127.0.0.1',
  zone: 'zone-a',
  region: 'region-a',
  'zones.zone-a': 'region-a',
  'listen.front': `127.0.0.1:${ports.front}`,
  'listen.ready': `127.0.0.1:${ports.ready}`,
  'listen.control': `127.0.0.1:${ports.control}`,
  internal_ports: '0,0',
  seeds: seeds.join(','),
  bootstrap: String(isFirstStart),
  fault_counted: 'false',
  'limits.cpu_share': '0.675',
  'limits.cores': '1',
  'limits.memory_mb': '350',
  'limits.max_fds': '4100',
  'limits.link_mbps': '1000.0',
  'limits.disk_mb': '0',
  discovery: 'platform',
  entry: 'vip',
  heartbeat_ms: '1200',
  contracts: 'base,drain,config,cost,retry,recover,engine,stream,tenants,platform',
  'fault_tolerance.machines': '2',
  'fault_tolerance.zones': '1',
  'fault_tolerance.regions': '0',
  'bounds.seed_lag_s': '3',
  'bounds.reuse_after_s': '2',
  'bounds.contact_ms': '3000',
  'bounds.ack_ms': '4000',
  'bounds.catch_up_s': '4',
  'bounds.drain_ms': '2000',
  'bounds.grace_s': '8',
  'bounds.loss_slack_ms': '200',
  'bounds.config_apply_ms': '2000',
  'bounds.back_ms': '250',
  'bounds.max_stretch_ms': '5000',
  'bounds.revoke_on_partition': 'true',
  'bounds.revoke_ms': '5000',
  'bounds.retry_ratio': '0.2',
  'bounds.retry_window_s': '10',
  'bounds.retry_extra': '52',
  'bounds.recover_s': '12',
  'bounds.pass_ms': '120',
  'bounds.reuse_window_s': '10',
  'bounds.cap_factor': '2',
  'platform.address': store,
  'platform.form': 'objects',
  'platform.writes_per_s': '400',
  'platform.reads_per_s': '2000',
  'platform.history_s': '20',
  'platform.value_bytes': '1048576',
  'platform.ttl_min_ms': '1000',
  ...fields
}).map(([field, value]) => `${field}=${value}\n`).join('')

const isReady = async (port) => {
  try {
    const response = await fetch(`http://127.0.0.1:${port}/readyz`, { signal: AbortSignal.timeout(500) })
    return response.status === 200
  } catch {
    return false
  }
}

/** Starts `count` gateways; `record` gets a line for each start and end of a process. */
export const startGateways = async ({ count, store, record }) => {
  const folder = mkdtempSync(join(tmpdir(), 'dotterelspoke-review-'))
  const { program, words } = readCommand()
  const found = await findFreePorts(3 * count)
  const gateways = []
  const addressOf = (port) => `127.0.0.1:${port}`
  const allPorts = Array.from({ length: count }, (_, index) => ({ front: found[3 * index], ready: found[3 * index + 1], control: found[3 * index + 2] }))
  let isClosing = false

  // No process outlives the case, however that ends.
  process.on('exit', () => { for (const gateway of gateways) gateway.killAtOnce() })

  const createGateway = (name, ports) => {
    const path = join(folder, `${name}.conf`)
    const output = []
    const ends = []
    let child
    let fields = {}
    let isFirstStart = true
    let isStopping = false
    let hasEnded = Promise.resolve()

    const write = () => writeFileSync(path, composeSettings({ name, ports, seeds: allPorts.map(({ control }) => addressOf(control)), store, isFirstStart, fields }))

    const start = () => {
      write()
      isStopping = false
      isFirstStart = false
      const current = spawn(program, words, { env: { PATH: process.env.PATH, HOME: folder, DOTTERELSPOKE_NODE_FILE: path }, stdio: ['ignore', 'pipe', 'pipe'] })
      child = current
      record.note(`process ${name} starts, pid ${current.pid}`)
      for (const stream of [current.stdout, current.stderr]) stream.on('data', (bytes) => output.push(bytes.toString('utf8')))
      hasEnded = new Promise((resolve) => {
        current.on('exit', (code, signal) => {
          const isOwn = !isStopping && !isClosing
          record.note(`process ${name} ends ${isOwn ? 'by itself ' : ''}with ${signal ?? `code ${code}`}`)
          if (isOwn) {
            ends.push({ at: performance.now(), code, signal })
            setTimeout(() => { if (!isClosing && child === current) start() }, RESTART_DELAY_MS)
          }
          resolve()
        })
      })
    }

    return {
      name,
      front: ports.front,
      ready: ports.ready,
      /** When the process ended although nobody had stopped it. */
      ownEnds: () => ends,
      /** What the process has written so far. */
      readOutput: () => output.join(''),
      start,
      signal: (signal) => {
        record.note(`process ${name} gets ${signal}`)
        if (signal === 'SIGTERM' || signal === 'SIGKILL') isStopping = true
        child.kill(signal)
      },
      whenEnded: () => hasEnded,
      /** Changes the settings file; the process gets no signal. */
      changeSettings: (changes) => {
        fields = { ...fields, ...changes }
        write()
      },
      isReady: () => isReady(ports.ready),
      killAtOnce: () => { child?.kill('SIGKILL') },
      kill: async () => {
        isStopping = true
        child.kill('SIGKILL')
        await hasEnded
      }
    }
  }

  for (const [index, ports] of allPorts.entries()) gateways.push(createGateway(`edge-${index + 1}`, ports))
  for (const gateway of gateways) gateway.start()

  return {
    gateways,
    close: async () => {
      isClosing = true
      for (const gateway of gateways) await gateway.kill()
      rmSync(folder, { recursive: true })
    }
  }
}

const READY_LIMIT_MS = 10_000
const POLL_MS = 50

/** Resolves once all gateways say that they are ready. */
export const waitUntilReady = async (gateways) => {
  const startedAt = performance.now()
  while (!(await Promise.all(gateways.map((gateway) => gateway.isReady()))).every(Boolean)) {
    if (performance.now() - startedAt > READY_LIMIT_MS) throw new Error('the gateways are not ready')
    await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
  }
}
