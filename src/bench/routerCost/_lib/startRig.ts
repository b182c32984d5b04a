/** A platform, model engines and one router, each a process of its own, with a sheet in force. */
import { createPlatformHttp } from '../../../adapters/platformHttp/index.js'
import { createSystemClock } from '../../../adapters/systemClock/index.js'
import { createSystemRandom } from '../../../adapters/systemRandom/index.js'
import { computeSha256 } from '../../../kernel/index.js'
import { createAuditTrail } from '../../../services/auditTrail/index.js'
import { createConfigurationStore } from '../../../services/configurationStore/index.js'
import type { Sheet } from '../../../types/index.js'
import { startProcess, type RunningProcess } from '../../_lib/startProcess.js'

export type Rig = {
  readonly engineUrls: readonly string[]
  readonly routerUrl: string
  readonly operatorUrl: string
  readonly key: string
  readonly model: string
  readonly stop: () => Promise<void>
}

const ENGINES = 3
const SLOTS = 512
const ZONE = 'bench-a'
const KEY = 'bench-account-key'
const MODEL = 'bench'
const SECRET = 'a-secret-of-the-bench'
const READINESS_POLL_MS = 20
const READINESS_LIMIT_MS = 20_000

const ENGINE_FLAGS = ['--slots', String(SLOTS), '--decode-interval', '1', '--decode-interval-per-request', '0', '--prefill-rate', '100000000', '--cache-tokens', '1000000']

/**
 * Starts the processes and puts the sheet in force.
 *
 * @returns Where they listen, and how to stop them all.
 *
 * @example
 * const rig = await startRig()
 */
export const startRig = async (): Promise<Rig> => {
  const started: RunningProcess[] = []
  const start = async (args: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<RunningProcess> => {
    const child = await startProcess(args, environment)
    started.push(child)
    return child
  }
  const stop = async (): Promise<void> => {
    for (const child of started.splice(0).reverse()) {
      child.terminate()
      await child.whenExited
    }
  }

  try {
    const platform = await start(['emulate', 'platform'])
    const engines = await Promise.all(Array.from({ length: ENGINES }, () => start(['emulate', 'engine', ...ENGINE_FLAGS])))
    const platformUrl = String(platform.ready['listening'])
    const engineUrls = engines.map(({ ready }) => String(ready['listening']))
    await applySheet(platformUrl, buildSheet(engineUrls))
    const router = await start([
      'router', '--node-id', 'bench-router', '--availability-zone', ZONE, '--platform-url', platformUrl, '--log-level', 'error',
      '--caller-port', '0', '--operator-port', '0', '--peer-port', '0', '--shutdown-delay-ms', '0'
    ], { DOTTERELSPOKE_FLEET_KEY: SECRET, DOTTERELSPOKE_OPERATOR_TOKEN: SECRET })
    const operatorUrl = String(router.ready['operator'])
    await waitUntilReady(operatorUrl)
    return { engineUrls, routerUrl: String(router.ready['caller']), operatorUrl, key: KEY, model: MODEL, stop }
  } catch (error) {
    await stop()
    throw error
  }
}

const buildSheet = (engineUrls: readonly string[]): Sheet => ({
  clientAccounts: [{ name: 'bench', weight: 1, keyHashes: [computeSha256(KEY)] }],
  services: [{ name: 'engines', kind: 'model', loadLimit: 1.5, loadTarget: 1.26 }],
  backendServers: engineUrls.map((url, index) => ({ name: `engine-${index}`, service: 'engines', url, availabilityZone: ZONE, slots: SLOTS })),
  routes: [{ name: 'bench', service: 'engines', model: MODEL, repeatable: true, backendIdempotent: false, deadlineSeconds: 60, priority: 'interactive' }],
  plannedStops: []
})

const applySheet = async (platformUrl: string, sheet: Sheet): Promise<void> => {
  const platform = createPlatformHttp({ url: platformUrl, timeoutMs: 5000 })
  const store = createConfigurationStore({ platform, auditTrail: createAuditTrail(platform), clock: createSystemClock(), random: createSystemRandom(), hashContent: computeSha256 })
  const outcome = await store.applySheet({ sheet, plannedAgainst: 0, appliedBy: 'bench', applyId: 'bench', action: 'sheet apply' })
  await platform.close()
  if (outcome.kind !== 'applied') throw new Error(`the sheet was not applied: ${outcome.kind}`)
}

const waitUntilReady = async (operatorUrl: string): Promise<void> => {
  const clock = createSystemClock()
  const limit = clock.now() + READINESS_LIMIT_MS
  while (clock.now() < limit) {
    const response = await fetch(`${operatorUrl}/readyz`)
    if (response.ok) return
    await new Promise<void>((resolve) => { clock.setTimer(READINESS_POLL_MS, resolve) })
  }
  throw new Error('the router did not become ready')
}
