/** Tests that nodes count each arrival of a request beyond its first one, at servers that fail in different ways; over separate processes. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway } from '../../platform/standIn/callGateway/index.js'
import type { BackendFault } from '../../platform/standIn/createBackendStandIn/index.js'
import { createPlatform, type PlatformStandIn } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { waitFor } from '../_lib/waitFor.js'

const NODES = 3
const CALLS = 120
const CONCURRENT_CALLS = 12
const RETRY_GAUGE = /^dotterelspoke_gateway_retry_sends\{[^}]*\} (\d+)$/gm

const open: { readonly close: () => Promise<void> }[] = []

const closeAfterTest = <Part extends { readonly close: () => Promise<void> }>(part: Part): Part => {
  open.push(part)
  return part
}

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

/** The budget is ample, and its window longer than the test. */
const startNodes = async ({ store }: PlatformStandIn): Promise<readonly GatewayProcess[]> => {
  const nodes: GatewayProcess[] = []
  for (let index = 0; index < NODES; index++) {
    const node = closeAfterTest(await startGatewayProcess({ name: `node-${index}`, store: store.address(), seeds: nodes.map(({ peerAddress }) => peerAddress), fields: { bootstrap: 'true', 'bounds.retry_window_s': '600', 'bounds.retry_extra': '10000' } }))
    nodes.push(node)
    const { host, port } = node.readinessAddress
    await waitFor(`node-${index} to be ready`, async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
  }
  return nodes
}

const countArrivalsBeyondFirst = ({ backends }: PlatformStandIn): number => {
  const ids = [...backends.values()].flatMap((backend) => backend.records().map(({ requestId }) => requestId))
  return ids.length - new Set(ids).size
}

const countRetries = async (nodes: readonly GatewayProcess[]): Promise<number> => {
  const texts = await Promise.all(nodes.map(async ({ metricsAddress: { host, port } }) => (await fetch(`http://${host}:${port}/metrics`)).text()))
  return texts.flatMap((text) => [...text.matchAll(RETRY_GAUGE)]).reduce((sum, [, value]) => sum + Number(value), 0)
}

describe('arrivals beyond the first', () => {
  // An arrival that no node counts makes another retry free, beyond the budget of the fleet.
  test.each<BackendFault>(['reset', 'cut', 'error', 'full'])('are all counted as retries (%s)', async (fault) => {
    const platform = closeAfterTest(await createPlatform({ plain: ['plain-1', 'plain-2', 'plain-3'].map((id) => ({ id })) }))
    const nodes = await startNodes(platform)
    for (const backend of platform.backends.values()) backend.setFault(fault)
    for (let sent = 0; sent < CALLS; sent += CONCURRENT_CALLS) {
      await Promise.all(Array.from({ length: CONCURRENT_CALLS }, (_, index) => callGateway(nodes[index % NODES]!.callerAddress, { path: '/lookup/1' })))
    }
    const arrivals = countArrivalsBeyondFirst(platform)
    expect(arrivals).toBeGreaterThan(0)
    expect(arrivals).toBeLessThanOrEqual(await countRetries(nodes))
  })
})
