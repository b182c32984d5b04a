/** Tests signals that a gateway process gets more than once. */
import { afterEach, describe, expect, test } from 'vitest'
import { callGateway, promptHeaders } from '../../platform/standIn/callGateway/index.js'
import { createPlatform, type PlatformStandIn } from '../../platform/standIn/createPlatform/index.js'
import { startGatewayProcess, type GatewayProcess } from '../../platform/standIn/startGatewayProcess/index.js'
import { waitFor } from '../_lib/waitFor.js'

const STREAMS = 6

const open: { readonly close: () => Promise<void> }[] = []

const closeAfterTest = <Part extends { readonly close: () => Promise<void> }>(part: Part): Part => {
  open.push(part)
  return part
}

afterEach(async () => { for (const part of open.splice(0).reverse()) await part.close() })

const startPlatform = async (): Promise<PlatformStandIn> =>
  closeAfterTest(await createPlatform({ engines: ['engine-1', 'engine-2'].map((id) => ({ id, workMs: 70, events: 20 })) }))

const startNode = async (platform: PlatformStandIn): Promise<GatewayProcess> =>
  closeAfterTest(await startGatewayProcess({ name: 'node-1', store: platform.store.address() }))

const waitUntilReady = async ({ readinessAddress: { host, port } }: GatewayProcess): Promise<void> => {
  await waitFor('the gateway to be ready', async () => (await fetch(`http://${host}:${port}/readyz`)).status === 200)
}

describe('a gateway process', () => {
  // Guards against a second SIGTERM that ends the process with all its requests.
  test('completes the streams in flight when SIGTERM is repeated', async () => {
    const platform = await startPlatform()
    const node = await startNode(platform)
    await waitUntilReady(node)
    const calls = Array.from({ length: STREAMS }, () => callGateway(node.callerAddress, { path: '/chat/1', body: 'x', headers: promptHeaders() }))
    await waitFor('the streams to run', () => [...platform.backends.values()].flatMap((backend) => backend.records()).length === STREAMS)
    node.signal('SIGTERM')
    await waitFor('the stop to begin', () => node.lines.some(({ message }) => message === 'gateway stopping'))
    node.signal('SIGTERM')
    expect((await Promise.all(calls)).filter(({ status, isComplete }) => status !== 200 || !isComplete)).toEqual([])
    expect(await node.ended).toBe(0)
    expect(node.lines.filter(({ message }) => message === 'signal repeated')).toHaveLength(1)
    expect(node.lines.filter(({ message }) => message === 'gateway stopping')).toHaveLength(1)
  })
})
