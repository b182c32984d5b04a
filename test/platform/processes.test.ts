/** Tests the daemon as separate processes over the platform's stand-ins, end to end as in production. */
import { readFileSync } from 'node:fs'
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { PROGRAM, startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { createPlatform, type PlatformStandIn } from '../../platform/standIn/createPlatform/index.js'
import { waitFor } from '../_lib/waitFor.js'

const open: { readonly close: () => Promise<void> }[] = []

const closeAfterTest = <Part extends { readonly close: () => Promise<void> }>(part: Part): Part => {
  open.push(part)
  return part
}

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

const startPlatform = async (): Promise<PlatformStandIn> => closeAfterTest(await createPlatform())

const startNode = async (platform: PlatformStandIn, name: string, seeds: readonly GatewayProcess[] = []): Promise<GatewayProcess> =>
  closeAfterTest(await startGatewayProcess({ name, store: platform.store.address(), seeds: seeds.map(({ peerAddress }) => peerAddress) }))

const readReadiness = async ({ readinessAddress: { host, port } }: GatewayProcess): Promise<number> => (await fetch(`http://${host}:${port}/readyz`)).status

const waitUntilReady = (node: GatewayProcess): Promise<boolean> => waitFor(`${node.lines[0]?.node} to be ready`, async () => await readReadiness(node) === 200)

describe('the daemon', () => {
  test('serves non-streamed and streamed answers', async () => {
    const node = await startNode(await startPlatform(), 'node-1')
    await waitUntilReady(node)
    expect(await callGateway(node.callerAddress, { path: '/lookup/1' })).toMatchObject({ status: 200, isComplete: true })
    expect(await callGateway(node.callerAddress, { path: '/chat/1', body: 'x', headers: promptHeaders() })).toMatchObject({ status: 200, isComplete: true })
  })

  test('exposes its metrics', async () => {
    const node = await startNode(await startPlatform(), 'node-1')
    await waitUntilReady(node)
    await callGateway(node.callerAddress, { path: '/lookup/1' })
    const text = await (await fetch(`http://${node.metricsAddress.host}:${node.metricsAddress.port}/metrics`)).text()
    expect(text).toContain('dotterelspoke_gateway_requests_total{policy="safe",outcome="complete",reason=""} 1')
    expect(text).toContain('dotterelspoke_configuration_version 1')
  })

  test('exits by itself after SIGTERM, before the grace period ends', async () => {
    const node = await startNode(await startPlatform(), 'node-1')
    await waitUntilReady(node)
    node.signal('SIGTERM')
    expect(await node.ended).toBe(0)
    expect(node.lines.at(-2)).toMatchObject({ message: 'gateway stopped', open: 0 })
  })

  // A node that is restarted during an outage of the store could not serve without a configuration.
  test('starts from a peer while the store is down', async () => {
    const platform = await startPlatform()
    const first = await startNode(platform, 'node-1')
    await waitUntilReady(first)
    platform.store.setFault('reset')
    const second = await startNode(platform, 'node-2', [first])
    await waitUntilReady(second)
    expect(await callGateway(second.callerAddress, { path: '/open/1', key: undefined })).toMatchObject({ status: 200 })
  })

  test('applies changed settings on SIGHUP, and rejects an invalid file as a whole', async () => {
    const node = await startNode(await startPlatform(), 'node-1')
    await waitUntilReady(node)
    node.rewriteSettings({ 'bounds.retry_ratio': '0.1' })
    node.signal('SIGHUP')
    await waitFor('the settings to be reloaded', () => node.lines.some(({ message }) => message === 'settings reloaded'))
    node.rewriteSettings({ 'bounds.grace_s': 'soon' })
    node.signal('SIGHUP')
    await waitFor('the invalid settings to be refused', () => node.lines.some(({ message }) => message === 'settings refused'))
    expect(await callGateway(node.callerAddress, { path: '/lookup/1' })).toMatchObject({ status: 200 })
  })

  // The platform leaves fields empty that don't concern a deployment; the process ended at each start.
  test('starts and reloads with empty fields and a seed that is no address', async () => {
    const platform = await startPlatform()
    const fields = { 'bounds.evacuate_ms': '', 'bounds.cold_excess': '', 'bounds.cold_slack': '', seeds: '127.0.0.1:82233' }
    const node = closeAfterTest(await startGatewayProcess({ name: 'node-1', store: platform.store.address(), fields }))
    await waitUntilReady(node)
    expect(node.lines.map(({ message }) => message)).toContain('seeds left out')
    node.rewriteSettings({ 'limits.memory_mb': '', 'bounds.grace_s': '5' })
    node.signal('SIGHUP')
    await waitFor('the settings to be reloaded', () => node.lines.some(({ message }) => message === 'settings reloaded'))
    expect(await callGateway(node.callerAddress, { path: '/lookup/1' })).toMatchObject({ status: 200 })
  })

  // Each gateway ended at its first request for such an entry, and lost the requests in flight.
  test('serves on beside an entry whose address does not exist', async () => {
    const platform = await startPlatform()
    const node = await startNode(platform, 'node-1')
    await waitUntilReady(node)
    const entry = { service: 'plain', address: '127.0.0.1:82233', zone: 'zone-a', slots: 64, state: 'ready', born: 1 }
    platform.store.put('servers', 'foreign', entry)
    await waitFor('the entry to be left out', () => node.lines.some(({ message, backendServer }) => message === 'backend server entry is malformed' && backendServer === 'foreign'))
    for (let request = 0; request < 10; request++) expect(await callGateway(node.callerAddress, { path: '/lookup/1' })).toMatchObject({ status: 200 })
  })

  // A pause or a reload that dropped what servers asked for would send requests to a server that wants none.
  test.each([['a freeze', ['SIGSTOP', 'SIGCONT']], ['a reload', ['SIGHUP']]] as const)('keeps a backoff and a leaving server over %s', async (_what, signals) => {
    const platform = closeAfterTest(await createPlatform({ plain: ['plain-1', 'plain-2', 'plain-3'].map((id) => ({ id })) }))
    const node = await startNode(platform, 'node-1')
    await waitUntilReady(node)
    const [refusing, leaving] = [platform.backends.get('plain-1')!, platform.backends.get('plain-2')!]
    refusing.setFault('full')
    refusing.setRetryAfter(60)
    leaving.startLeaving()
    while (refusing.records().length + leaving.records().length < 2) await callGateway(node.callerAddress, { path: '/lookup/1' })
    for (const signal of signals) {
      node.rewriteSettings({ 'bounds.retry_ratio': '0.3' })
      node.signal(signal)
      await new Promise((resolve) => { setTimeout(resolve, 300) })
    }
    for (let index = 0; index < 12; index++) expect((await callGateway(node.callerAddress, { path: '/lookup/1' })).status).toBe(200)
    expect([refusing.records().length, leaving.records().length]).toEqual([1, 1])
  })

  // A process that resumes from a freeze would accept an order with a key that was revoked meanwhile.
  test('does not accept a key that was revoked while it was frozen', async () => {
    const platform = await startPlatform()
    const node = closeAfterTest(await startGatewayProcess({ name: 'node-1', store: platform.store.address(), fields: { 'bounds.revoke_ms': '2000' } }))
    await waitUntilReady(node)
    expect(await callGateway(node.callerAddress, { path: '/order/1', key: 'second-key' })).toMatchObject({ status: 200 })
    node.signal('SIGSTOP')
    platform.applyConfiguration(7, { tenants: [{ name: 'pekarna', api_keys: ['key-of-pekarna'], priority: 1 }] })
    const order = callGateway(node.callerAddress, { path: '/order/2', key: 'second-key', requestId: 'frozen', timeoutMs: 10_000 })
    await new Promise((resolve) => { setTimeout(resolve, 2_500) })
    node.signal('SIGCONT')
    expect([401, 503]).toContain((await order).status)
    expect([...platform.backends.values()].flatMap((backend) => backend.records()).filter(({ requestId }) => requestId === 'frozen')).toEqual([])
  })

  // A process that resumes reads a request and its caller's close together, and would still send the request to a server.
  test('forwards no request of a caller that disconnected while it was frozen', async () => {
    const platform = await startPlatform()
    const node = await startNode(platform, 'node-1')
    await waitUntilReady(node)
    const served = platform.backends.size
    for (let call = 0; call < served; call++) await callGateway(node.callerAddress, { path: '/order/1' })
    node.signal('SIGSTOP')
    const callers = Array.from({ length: 20 }, () => new AbortController())
    const calls = callers.map(({ signal }) => callGateway(node.callerAddress, { path: '/order/2', requestId: 'left', body: 'x', signal }))
    await new Promise((resolve) => { setTimeout(resolve, 300) })
    for (const caller of callers) caller.abort()
    await Promise.all(calls)
    await new Promise((resolve) => { setTimeout(resolve, 1_000) })
    node.signal('SIGCONT')
    expect(await callGateway(node.callerAddress, { path: '/lookup/1' })).toMatchObject({ status: 200 })
    expect([...platform.backends.values()].flatMap((backend) => backend.records()).filter(({ requestId }) => requestId === 'left')).toEqual([])
  })

  test('is not ready without a configuration, and refuses callers with 503', async () => {
    const platform = await startPlatform()
    platform.store.setFault('silent')
    const node = await startNode(platform, 'node-1')
    expect(await readReadiness(node)).toBe(503)
    expect((await callGateway(node.callerAddress, { path: '/lookup/1' })).status).toBe(503)
  })

  // Node silently ignores a code cache that was built with other flags, and each start takes twice as long.
  test('is deployed with the flags that its code cache was built with', () => {
    expect(readFileSync('deploy/system.toml', 'utf8')).toContain(`run = "node ${PROGRAM.join(' ')}"`)
    expect(readFileSync('scripts/bundlePlatform.mjs', 'utf8')).toContain(PROGRAM[0])
  })
})
