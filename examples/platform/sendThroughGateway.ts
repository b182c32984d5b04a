/**
 * The whole path on the operators' platform in one process: a stand-in of the
 * store with a configuration, two model engines, a gateway, and a chat that is
 * sent twice and read to its last event.
 */
import { createDialect } from '../../platform/createDialect/index.js'
import { createPromptCacheSource } from '../../platform/createPromptCacheSource/index.js'
import { createConfigurationSource } from '../../platform/createConfigurationSource/index.js'
import { createInstanceSource } from '../../platform/createInstanceSource/index.js'
import { createStoreClient } from '../../platform/createStoreClient/index.js'
import { createBackendStandIn } from '../../platform/standIn/createBackendStandIn/index.js'
import { createStoreServer } from '../../platform/standIn/createStoreServer/index.js'
import { startGateway } from '../../src/daemon/startGateway/index.js'
import { composeGatewaySettings } from '../../src/emulator/composeGatewaySettings/index.js'
import type { GatewaySettings, Logger, PeerAddress } from '../../src/types/index.js'

export type ExampleTurn = { readonly status: number, readonly backendServer: string, readonly events: number }

const SETTINGS: GatewaySettings = composeGatewaySettings('example', { graceMs: 8_000 })

const CONFIGURATION = {
  version: 1,
  routes: [{ name: 'chat', host: '127.0.0.1', path_prefix: '/chat/', route_type: 'stream', timeout_ms: 6_000, latency_goal_ms: 800, gap_target_ms: 300, priority: 0, service: 'engines', max_attempts: 2, resumable: true }],
  services: [{ name: 'engines', engine: {} }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: 'pekarna', api_keys: ['example-key'] }]
}

const silentLogger: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

const sendTurn = async ({ host, port }: PeerAddress, turn: number): Promise<ExampleTurn> => {
  const response = await fetch(`http://${host}:${port}/chat/1`, {
    method: 'POST',
    body: 'Which flour is in stock?',
    headers: { Authorization: 'Bearer example-key', 'X-Attempt-Id': `turn-${turn}`, 'X-Model': 'm', 'X-Token-Count': '300,20', 'X-Prompt-Prefix': `5c1e07a2:200,${turn}:100` }
  })
  const text = await response.text()
  return { status: response.status, backendServer: response.headers.get('x-server-stamp') ?? '', events: text.split('\n\n').length - 1 }
}

/**
 * Runs the example.
 *
 * @returns The two turns: both from the same engine, which keeps the prompt's shared part.
 *
 * @example
 * const [first, second] = await sendThroughGateway()
 */
export const sendThroughGateway = async (): Promise<readonly ExampleTurn[]> => {
  const store = await createStoreServer()
  const engines = [await createBackendStandIn({ id: 'engine-1' }), await createBackendStandIn({ id: 'engine-2' })]
  for (const engine of engines) {
    const { host, port } = engine.address()
    store.put('servers', engine.id, { service: 'engines', address: `${host}:${port}`, zone: 'zone-a', slots: 64, state: 'ready', born: 1 })
  }
  store.put('config', 'main', CONFIGURATION)
  const client = createStoreClient(store.address())
  const gateway = await startGateway({
    settings: SETTINGS,
    logger: silentLogger,
    dialect: createDialect(),
    configurationSource: createConfigurationSource(client),
    instanceSource: createInstanceSource(client),
    promptCacheSource: createPromptCacheSource(),
    readinessPath: '/readyz'
  })
  await gateway.whenReadyToServe()
  const turns = [await sendTurn(gateway.callerAddress, 1), await sendTurn(gateway.callerAddress, 2)]
  await gateway.kill()
  client.close()
  for (const engine of engines) await engine.close()
  await store.close()
  return turns
}
