/** Tests a platform that hands almost all new connections to one node, then to another, over separate processes. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, nextRequestId, promptHeaders, type CallResult } from '../../platform/standIn/callGateway/index.js'
import { createPlatform, ENGINES, type PlatformStandIn } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { waitFor } from '../_lib/waitFor.js'
import { pause } from './_lib/callFleet.js'

const NODES = 6
const ENGINE_COUNT = 8
const REQUESTS_PER_SECOND = 150
const PHASE_MS = 3_000
/** Of the requests that a node has read, this share of the share before is served at the first attempt. */
const MINIMUM_SHARE = 0.75

const open: { readonly close: () => Promise<void> }[] = []

const closeAfterTest = <Part extends { readonly close: () => Promise<void> }>(part: Part): Part => {
  open.push(part)
  return part
}

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

const startNodes = async (platform: PlatformStandIn, fields: Readonly<Record<string, string>>): Promise<readonly GatewayProcess[]> => {
  const nodes: GatewayProcess[] = []
  for (let index = 0; index < NODES; index++) {
    const node = closeAfterTest(await startGatewayProcess({ name: `node-${index}`, store: platform.store.address(), seeds: nodes.map(({ peerAddress }) => peerAddress), fields: { bootstrap: 'true', ...fields } }))
    nodes.push(node)
    const { host, port } = node.readinessAddress
    await waitFor(`node-${index} to be ready`, async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
  }
  return nodes
}

/** Sends each request on a connection of its own; `select` returns the node that gets it. */
const callEach = async (durationMs: number, select: (index: number) => GatewayProcess): Promise<readonly CallResult[]> => {
  const calls: Promise<CallResult>[] = []
  for (let index = 0; index < REQUESTS_PER_SECOND * durationMs / 1_000; index++) {
    const path = index % 2 === 0 ? '/lookup/1' : '/chat/1'
    calls.push(callGateway(select(index).callerAddress, { path, body: 'hello', requestId: nextRequestId(), ...(index % 2 === 0 ? {} : { headers: promptHeaders(`p${index % 10}`) }) }))
    await pause(1_000 / REQUESTS_PER_SECOND)
  }
  return await Promise.all(calls)
}

/** A request without any answer counts as not served: these callers try no other node. */
const computeServedShare = (results: readonly CallResult[]): number =>
  results.filter(({ status, isComplete }) => status === 200 && isComplete).length / results.length

describe('a node that gets almost all new connections', () => {
  test('serves what it reads, and so does the next one', async () => {
    const platform = closeAfterTest(await createPlatform({ engines: Array.from({ length: ENGINE_COUNT }, (_, index) => ({ id: `engine-${index}`, workMs: 10 })) }))
    const nodes = await startNodes(platform, {})
    const before = computeServedShare(await callEach(PHASE_MS / 2, (index) => nodes[index % NODES]!))
    for (const node of nodes.slice(0, 2)) {
      const during = computeServedShare(await callEach(PHASE_MS, () => node))
      expect(during).toBeGreaterThanOrEqual(MINIMUM_SHARE * before)
    }
  }, 60_000)

  // A bound of the fleet that each node uses by a fixed share would leave it a sixth.
  test('serves what it reads while servers warm up', async () => {
    const platform = closeAfterTest(await createPlatform({
      engines: Array.from({ length: ENGINE_COUNT }, (_, index) => ({ id: `engine-${index}`, workMs: 10 })),
      engineService: { cold_start_s: 30, cold_per_s: 20 }
    }))
    const nodes = await startNodes(platform, { 'bounds.cold_excess': '1.5', 'bounds.cold_slack': '5' })
    const ids = Array.from({ length: ENGINE_COUNT }, (_, index) => `engine-${index}`)
    for (const id of ids.slice(0, ENGINE_COUNT / 2)) platform.register(platform.backends.get(id)!, ENGINES, { cold_left_ms: 30_000, born: 2 })
    await pause(500)
    const before = computeServedShare(await callEach(PHASE_MS / 2, (index) => nodes[index % NODES]!))
    const during = computeServedShare(await callEach(PHASE_MS, () => nodes[0]!))
    expect(during).toBeGreaterThanOrEqual(MINIMUM_SHARE * before)
  }, 60_000)
})
