/**
 * Starts a complete deployment of real processes on loopback: the platform's
 * stand-in, plain services, model engines and routers. Backend servers, and each
 * router's platform and peer links, are reached through separate fault proxies.
 */
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { createPlatformHttp } from '../../src/adapters/platformHttp/index.js'
import { createSystemClock } from '../../src/adapters/systemClock/index.js'
import { createSystemRandom } from '../../src/adapters/systemRandom/index.js'
import { computeSha256 } from '../../src/kernel/index.js'
import { createAuditTrail } from '../../src/services/auditTrail/index.js'
import { createConfigurationStore } from '../../src/services/configurationStore/index.js'
import type { BackendServer, NodeStatus, Sheet, Vm } from '../../src/types/index.js'
import { createFaultProxy } from './createFaultProxy.js'
import type { FaultProxy } from './createFaultProxy.js'
import { startProcess } from './startProcess.js'
import type { RunningProcess } from './startProcess.js'
import { waitFor } from './waitFor.js'

export type JournalEntry = {
  readonly requestId: string
  readonly idempotencyKey?: string
  readonly clientAccount?: string
  readonly path: string
  readonly outcome: string
}

export type FleetRouter = {
  readonly nodeId: string
  readonly process: RunningProcess
  /** Origin for callers. */
  readonly caller: string
  readonly operator: string
  readonly platformLink: FaultProxy
  readonly peerLink: FaultProxy
  readonly readStatus: () => Promise<NodeStatus>
}

export type FleetBackend = {
  readonly server: BackendServer
  readonly process: RunningProcess
  /** The link that all routers use to reach it. */
  readonly link: FaultProxy
  readonly setFault: (fault: Readonly<Record<string, unknown>>) => Promise<void>
  readonly clearFaults: () => Promise<void>
  readonly readJournal: () => Promise<readonly JournalEntry[]>
}

export type FleetPlatform = {
  readonly process: RunningProcess
  readonly setFault: (fault: Readonly<Record<string, unknown>>) => Promise<void>
  readonly setVms: (vms: readonly Vm[]) => Promise<void>
}

export type Fleet = {
  readonly routers: readonly FleetRouter[]
  readonly services: readonly FleetBackend[]
  readonly engines: readonly FleetBackend[]
  readonly platform: FleetPlatform
  /** Applies a changed sheet as the next generation. */
  readonly changeSheet: (change: (sheet: Sheet) => Sheet) => Promise<void>
  /** The journals of all plain services and engines. */
  readonly readJournals: () => Promise<readonly JournalEntry[]>
  readonly stop: () => Promise<void>
}

export type FleetOptions = {
  readonly routers?: number
  readonly services?: number
  readonly engines?: number
  readonly serviceFlags?: readonly string[]
  readonly engineFlags?: readonly string[]
  readonly routerFlags?: readonly string[]
}

export const CALLER_KEY = 'key-of-deli-1'
export const MODEL = 'order-desk-8b'

const ZONES = ['scot-central-a', 'scot-central-b', 'scot-central-c']
const SLOTS = 64
const OPERATOR_TOKEN = 'operator token of the tests'
const ENVIRONMENT = { DOTTERELSPOKE_FLEET_KEY: 'fleet key of the tests', DOTTERELSPOKE_OPERATOR_TOKEN: OPERATOR_TOKEN }

/** Short time-outs, so that tests that wait for one stay fast. */
const ROUTER_FLAGS = ['--caller-port', '0', '--operator-port', '0', '--platform-timeout-ms', '500', '--watch-timeout-ms', '2000', '--shutdown-delay-ms', '100', '--log-level', 'warn']

const zoneOf = (index: number): string => ZONES[index % ZONES.length]!

const portOf = (url: unknown): number => Number(new URL(String(url)).port)

const post = async (url: string, body: unknown): Promise<void> => {
  const response = await fetch(url, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(body) })
  if (!response.ok) throw new Error(`${url} answered ${response.status}: ${await response.text()}`)
}

const createControl = (process: RunningProcess) => {
  const control = String(process.ready['control'])
  return {
    setFault: (fault: Readonly<Record<string, unknown>>) => post(`${control}/faults`, fault),
    clearFaults: async (): Promise<void> => { await fetch(`${control}/faults`, { method: 'DELETE' }) },
    readJournal: async (): Promise<readonly JournalEntry[]> => {
      // Another process may have been given the port of a process that has ended.
      if (process.hasExited()) throw new Error(`the process behind ${control} has ended`)
      const response = await fetch(`${control}/journal`)
      if (!response.ok) throw new Error(`${control}/journal answered ${response.status}`)
      const { entries } = await response.json() as { readonly entries: readonly JournalEntry[] }
      return entries
    }
  }
}

/** The router prints the advertised peer port, which is the proxy's, so its own port is picked before the start. */
const findFreePort = async (): Promise<number> => {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => { server.close(resolve) })
  return port
}

const MAXIMUM_PORT_TRIES = 5

/**
 * Another process may take the free port before the started process listens on
 * it. The start then fails with EADDRINUSE and is retried on another port; any
 * other error is rethrown.
 */
const startOnFreePort = async (start: (port: number) => Promise<RunningProcess>, tries = 1): Promise<RunningProcess> => {
  try {
    return await start(await findFreePort())
  } catch (error) {
    if (tries === MAXIMUM_PORT_TRIES || !String(error).includes('EADDRINUSE')) throw error
    return startOnFreePort(start, tries + 1)
  }
}

/** Registers a process to be killed when the fleet stops. */
type RegisterProcess = <Item extends { readonly process: RunningProcess }>(item: Item) => Item

const startBackend = async (kind: 'service' | 'engine', service: string, index: number, flags: readonly string[], registerProcess: RegisterProcess): Promise<FleetBackend> => {
  const { process } = registerProcess({ process: await startProcess(['emulate', kind, ...flags]) })
  const link = await createFaultProxy(portOf(process.ready['listening']))
  const server = { name: `${service}-${index + 1}`, service, url: link.url, availabilityZone: zoneOf(index), slots: SLOTS }
  return { server, process, link, ...createControl(process) }
}

const createSheet = (backends: readonly FleetBackend[]): Sheet => ({
  clientAccounts: [{ name: 'deli-1', weight: 1, keyHashes: [computeSha256(CALLER_KEY)] }],
  services: [
    { name: 'ordering', kind: 'plain', loadLimit: 2, loadTarget: 1.6 },
    { name: 'order-desk', kind: 'model', loadLimit: 1.5, loadTarget: 1.26 }
  ].filter(({ name }) => backends.some(({ server }) => server.service === name)) as Sheet['services'],
  backendServers: backends.map(({ server }) => server),
  routes: ([
    { name: 'orders', service: 'ordering', path: '/orders', repeatable: false, backendIdempotent: false, deadlineSeconds: 20, priority: 'interactive' },
    { name: 'stock', service: 'ordering', path: '/stock', repeatable: true, backendIdempotent: false, deadlineSeconds: 20, priority: 'interactive' },
    { name: 'order-desk-chat', service: 'order-desk', model: MODEL, repeatable: true, backendIdempotent: false, deadlineSeconds: 20, priority: 'interactive' }
  ] as const).filter(({ service }) => backends.some(({ server }) => server.service === service)),
  plannedStops: []
})

const applySheet = async (platformUrl: string, sheet: Sheet, plannedAgainst: number): Promise<void> => {
  const clock = createSystemClock()
  const random = createSystemRandom()
  const platform = createPlatformHttp({ url: platformUrl, timeoutMs: 5_000 })
  const auditTrail = createAuditTrail(platform)
  const store = createConfigurationStore({ platform, auditTrail, clock, random, hashContent: computeSha256 })
  const outcome = await store.applySheet({ sheet, plannedAgainst, appliedBy: 'test', applyId: random.nextId(), action: 'sheet apply' })
  await platform.close()
  if (outcome.kind !== 'applied') throw new Error(`sheet apply failed: ${JSON.stringify(outcome)}`)
}

type RouterLinks = { readonly platformLink: FaultProxy, readonly peerLink: FaultProxy }

const startRouter = async (index: number, { platformLink, peerLink }: RouterLinks, seeds: string, flags: readonly string[], registerProcess: RegisterProcess): Promise<FleetRouter> => {
  const nodeId = `router-${index + 1}`
  const { process } = registerProcess({
    process: await startOnFreePort((peerPort) => {
      peerLink.setTarget(peerPort)
      return startProcess([
        'router', '--node-id', nodeId, '--availability-zone', zoneOf(index), '--platform-url', platformLink.url,
        '--seed-peers', seeds, '--peer-port', String(peerPort), '--advertised-port', String(peerLink.port), ...ROUTER_FLAGS, ...flags
      ], ENVIRONMENT)
    })
  })
  const operator = String(process.ready['operator'])
  const readStatus = async (): Promise<NodeStatus> =>
    await (await fetch(`${operator}/status`, { headers: { authorization: `Bearer ${OPERATOR_TOKEN}` } })).json() as NodeStatus
  return { nodeId, process, caller: String(process.ready['caller']), operator, platformLink, peerLink, readStatus }
}

const isSettled = (status: NodeStatus, routers: number, backends: number): boolean =>
  status.ready &&
  status.members.filter(({ state }) => state === 'live').length === routers &&
  status.backendServers.filter(({ state }) => state === 'live').length === backends

/**
 * Starts a fleet and waits until every router is ready and sees all routers and backend servers as live.
 *
 * @param options - Number of processes of each kind, and additional flags.
 * @returns The running fleet. The test must stop it whether it passes or fails.
 */
export const startFleet = async (options: FleetOptions = {}): Promise<Fleet> => {
  const { routers: routerCount = 2, services: serviceCount = 1, engines: engineCount = 0 } = options
  const cleanups: (() => Promise<void>)[] = []
  const stop = async (): Promise<void> => { for (const end of cleanups.reverse()) await end() }
  const registerProcess: RegisterProcess = (item) => {
    cleanups.push(() => item.process.kill())
    return item
  }
  const registerLink = (link: FaultProxy): FaultProxy => {
    cleanups.push(() => link.close())
    return link
  }
  try {
    const platformProcess = await startProcess(['emulate', 'platform'])
    registerProcess({ process: platformProcess })
    const platformUrl = String(platformProcess.ready['listening'])
    const platformPort = portOf(platformUrl)
    const services = await Promise.all(Array.from({ length: serviceCount }, (_, index) => startBackend('service', 'ordering', index, options.serviceFlags ?? [], registerProcess)))
    const engines = await Promise.all(Array.from({ length: engineCount }, (_, index) => startBackend('engine', 'order-desk', index, options.engineFlags ?? [], registerProcess)))
    const backends = [...services, ...engines]
    for (const backend of backends) registerLink(backend.link)
    const sheets = [createSheet(backends)]
    await applySheet(platformUrl, sheets[0]!, 0)
    const changeSheet = async (change: (sheet: Sheet) => Sheet): Promise<void> => {
      const sheet = change(sheets.at(-1)!)
      await applySheet(platformUrl, sheet, sheets.length)
      sheets.push(sheet)
    }
    const links: RouterLinks[] = []
    for (let index = 0; index < routerCount; index += 1) {
      links.push({ platformLink: registerLink(await createFaultProxy(platformPort)), peerLink: registerLink(await createFaultProxy(0)) })
    }
    const seeds = links.map(({ peerLink }) => peerLink.address).join(',')
    const routers = await Promise.all(links.map((link, index) => startRouter(index, link, seeds, options.routerFlags ?? [], registerProcess)))
    for (const router of routers) await waitFor(`${router.nodeId} to settle`, async () => isSettled(await router.readStatus(), routerCount, backends.length))
    const readJournals = async (): Promise<readonly JournalEntry[]> => (await Promise.all(backends.map((backend) => backend.readJournal()))).flat()
    const platform: FleetPlatform = {
      process: platformProcess,
      setFault: createControl(platformProcess).setFault,
      setVms: async (vms) => { await fetch(`${platformUrl}/vms`, { method: 'PUT', headers: { 'content-type': 'application/json' }, body: JSON.stringify(vms) }) }
    }
    return { routers, services, engines, platform, changeSheet, readJournals, stop }
  } catch (error) {
    await stop()
    throw error
  }
}
