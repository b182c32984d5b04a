/**
 * Three routers in one process, driven from code: the clock, the random
 * source, the peers, the platform and the backend servers are all handed in.
 * Nothing listens on a port, and time moves only when it is told to.
 */
import {
  computeSha256, createAuditTrail, createConfigurationStore, createManualClock, createMemoryPeerNetwork, createMemoryPlatform,
  createPromMetrics, createRouterNode, createSeededRandom, parseRouterSettings, success, type BackendClient, type CallerAnswer,
  type Logger, type ManualClock, type PeerAddress, type Platform, type RouterNode, type RouterSettings, type Sheet
} from '../../src/index.js'

export type HostedRequest = { readonly router: string, readonly answer: CallerAnswer }

const KEY = 'key-of-village-shops'
const ZONES = ['zone-a', 'zone-b', 'zone-c']
const SETTLE_MS = 5_000
const silentLogger: Logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }

const sheet: Sheet = {
  clientAccounts: [{ name: 'village-shops', weight: 1, keyHashes: [computeSha256(KEY)] }],
  services: [{ name: 'stock', kind: 'plain', loadLimit: 1.5, loadTarget: 1.26 }],
  backendServers: ZONES.map((availabilityZone) => ({ name: `stock-${availabilityZone}`, service: 'stock', url: `http://stock-${availabilityZone}`, availabilityZone, slots: 8 })),
  routes: [{ name: 'stock-lookups', service: 'stock', path: '/stock', repeatable: true, backendIdempotent: false, deadlineSeconds: 10, priority: 'interactive' }],
  plannedStops: []
}

/** Stands in for the backend servers: each says which one it is. */
const createEchoBackends = (): BackendClient => ({
  send: async ({ url, requestId }) => success({
    status: 200,
    headers: { 'x-request-id': requestId, 'content-type': 'text/plain' },
    body: (async function * () {
      yield { kind: 'data' as const, bytes: Buffer.from(`stock according to ${url}`) }
      yield { kind: 'end' as const }
    })(),
    abort: () => {}
  }),
  readLoad: async () => success({ running: 0, waiting: 0, slots: 8, leaving: false, ageMs: 0 }),
  close: async () => {}
})

const composeSettings = (nodeId: string, availabilityZone: string): RouterSettings => {
  const settings = parseRouterSettings({
    nodeId,
    availabilityZone,
    platformUrl: 'http://platform.example',
    fleetKey: 'the fleet key of the example',
    operatorToken: 'the operator token of the example',
    seedPeers: ZONES.map((_zone, index) => `router-${index + 1}:1`).join(',')
  }, {})
  if (settings.ok) return settings.value
  throw new Error('the settings of the example are wrong')
}

const applySheet = async (platform: Platform, clock: ManualClock): Promise<void> => {
  const store = createConfigurationStore({ platform, clock, auditTrail: createAuditTrail(platform), random: createSeededRandom(1), hashContent: computeSha256 })
  const outcome = await store.applySheet({ sheet, plannedAgainst: 0, appliedBy: 'example', applyId: 'example-1', action: 'example' })
  if (outcome.kind !== 'applied') throw new Error(`the sheet was not applied: ${outcome.kind}`)
}

/**
 * Hosts three routers, lets them find each other and the configuration, and
 * sends one request through each.
 *
 * @returns The answers, by router.
 */
export const hostNodes = async (): Promise<readonly HostedRequest[]> => {
  const clock = createManualClock()
  const platform = createMemoryPlatform(clock)
  const network = createMemoryPeerNetwork({ clock })
  await applySheet(platform, clock)
  const nodes = ZONES.map((zone, index): RouterNode => {
    const address: PeerAddress = { host: `router-${index + 1}`, port: 1 }
    return createRouterNode({
      settings: composeSettings(address.host, zone),
      clock,
      platform,
      random: createSeededRandom(index + 1),
      transport: network.createTransport(address),
      peerAddress: () => address,
      backendClient: createEchoBackends(),
      logger: silentLogger,
      metrics: createPromMetrics()
    })
  })
  for (const node of nodes) await node.start()
  await clock.advanceAndSettle(SETTLE_MS)
  const answers = await Promise.all(nodes.map(async (node): Promise<HostedRequest> => {
    const request = { requestId: `request-of-${node.status().nodeId}`, method: 'GET', path: '/stock/flour', headers: {}, body: new Uint8Array(), credential: KEY }
    const answer = await node.resolve('dispatch').handle(request, new AbortController().signal)
    return { router: node.status().nodeId, answer }
  }))
  for (const node of nodes) await node.stop()
  return answers
}
