/**
 * Starts a small fleet in one process: the platform, a stand-in for each
 * backend server of a sheet, and one router per availability zone. They
 * communicate over loopback through the real adapters.
 */
import { createPlatformHttp } from '../../../adapters/platformHttp/index.js'
import { createSystemClock } from '../../../adapters/systemClock/index.js'
import { createSystemRandom } from '../../../adapters/systemRandom/index.js'
import { createWinstonLogger } from '../../../adapters/winstonLogger/index.js'
import { startRouter, type Router } from '../../../daemon/startRouter/index.js'
import type { EmulatedServer } from '../../../emulator/_lib/listen.js'
import { createModelEngineServer } from '../../../emulator/createModelEngineServer/index.js'
import { createPlainServiceServer } from '../../../emulator/createPlainServiceServer/index.js'
import { createPlatformServer } from '../../../emulator/createPlatformServer/index.js'
import { computeSha256 } from '../../../kernel/index.js'
import { createAuditTrail } from '../../../services/auditTrail/index.js'
import { createConfigurationStore, type ApplyOutcome } from '../../../services/configurationStore/index.js'
import { parseRouterSettings } from '../../../settings/index.js'
import type { BackendServer, BackendServiceKind, NodeStatus, RouterSettings, Sheet } from '../../../types/index.js'

export type DemoFleet = {
  readonly platformUrl: string
  readonly routers: readonly Router[]
  readonly generation: number
  readonly stop: () => Promise<void>
}

export type DemoOptions = {
  readonly sheet: Sheet
  /** Caller port of the first router; 0 selects a free port. */
  readonly port: number
  readonly operatorToken: string
}

const FLEET_KEY = 'the fleet key of the demo'
const READY_POLL_MS = 20
/** The stand-ins keep timers for resumable streams; these must not keep the process alive after the demo. */
const clock = createSystemClock({ keepsProcessAlive: false })

const starters: Readonly<Record<BackendServiceKind, (server: BackendServer) => Promise<EmulatedServer>>> = {
  model: ({ slots }) => createModelEngineServer({ clock, engine: { slots } }),
  plain: ({ slots }) => createPlainServiceServer({ clock, slots })
}

const startBackendServers = async (sheet: Sheet): Promise<ReadonlyMap<string, EmulatedServer>> => {
  const started = new Map<string, EmulatedServer>()
  for (const server of sheet.backendServers) {
    const service = sheet.services.find(({ name }) => name === server.service)
    if (service !== undefined) started.set(server.name, await starters[service.kind](server))
  }
  return started
}

const applySheet = async (platformUrl: string, sheet: Sheet): Promise<ApplyOutcome> => {
  const platform = createPlatformHttp({ url: platformUrl, timeoutMs: 2_000 })
  const random = createSystemRandom()
  const store = createConfigurationStore({ platform, auditTrail: createAuditTrail(platform), clock, random, hashContent: computeSha256 })
  const outcome = await store.applySheet({ sheet, plannedAgainst: 0, appliedBy: 'demo', applyId: random.nextId(), action: 'demo' })
  await platform.close()
  return outcome
}

const composeSettings = (platformUrl: string, availabilityZone: string, options: DemoOptions & { readonly seedPeers: string }): RouterSettings => {
  const settings = parseRouterSettings({
    nodeId: `router-${availabilityZone}`,
    availabilityZone,
    platformUrl,
    fleetKey: FLEET_KEY,
    operatorToken: options.operatorToken,
    seedPeers: options.seedPeers,
    callerPort: String(options.port),
    operatorPort: '0',
    peerPort: '0',
    shutdownDelayMs: '0',
    logLevel: 'error'
  }, {})
  if (!settings.ok) throw new Error(`the demo's settings are wrong: ${settings.error.map(({ flag, message }) => `${flag} ${message}`).join('; ')}`)
  return settings.value
}

const readStatus = async (router: Router, operatorToken: string): Promise<NodeStatus> => {
  const response = await fetch(`${router.addresses.operator}/status`, { headers: { authorization: `Bearer ${operatorToken}` } })
  return await response.json() as NodeStatus
}

/** Waits until the router is ready and lists every router as a member. */
const waitUntilReady = async (router: Router, routers: number, operatorToken: string): Promise<void> => {
  for (;;) {
    const status = await readStatus(router, operatorToken)
    if (status.ready && status.members.length === routers) return
    await new Promise<void>((resolve) => { setTimeout(resolve, READY_POLL_MS) })
  }
}

const startRouters = async (platformUrl: string, options: DemoOptions): Promise<readonly Router[]> => {
  const zones = [...new Set(options.sheet.backendServers.map(({ availabilityZone }) => availabilityZone))].sort()
  const routers: Router[] = []
  for (const zone of zones) {
    const seedPeers = routers.map(({ addresses }) => addresses.peer).join(',')
    const port = routers.length === 0 ? options.port : 0
    const settings = composeSettings(platformUrl, zone, { ...options, port, seedPeers })
    routers.push(await startRouter(settings, { logger: createWinstonLogger({ level: settings.logLevel, fields: { node: settings.nodeId } }) }))
  }
  return routers
}

/**
 * Starts the fleet and puts the sheet in force on every router.
 *
 * @param options - The sheet (each of its backend servers gets a stand-in), the port and the operator token.
 * @returns The running fleet.
 */
export const startDemoFleet = async (options: DemoOptions): Promise<DemoFleet> => {
  const platform = await createPlatformServer({ clock })
  const backendServers = await startBackendServers(options.sheet)
  const sheet: Sheet = {
    ...options.sheet,
    backendServers: options.sheet.backendServers.map((server) => ({ ...server, url: backendServers.get(server.name)?.url ?? server.url }))
  }
  const outcome = await applySheet(platform.url, sheet)
  if (outcome.kind !== 'applied') throw new Error(`the demo's sheet was not applied: ${outcome.kind}`)
  const routers = await startRouters(platform.url, options)
  for (const router of routers) await waitUntilReady(router, routers.length, options.operatorToken)
  return {
    platformUrl: platform.url,
    routers,
    generation: outcome.generation,
    stop: async () => {
      await Promise.all(routers.map((router) => router.stop()))
      await Promise.all([...backendServers.values()].map((server) => server.close()))
      await platform.close()
    }
  }
}
